package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/balsamstair/balsamstair/internal/httphead/headtest"
	"github.com/shoenig/test/must"
)

// Guards against a response that is printed although its head is not well-formed, or although
// it may be a part of one.
func TestMalformedResponsesAreNotPrinted(t *testing.T) {
	status, err := json.Marshal(testStatus("secret", true))
	must.NoError(t, err)
	for command, c := range map[string]struct {
		fields, body string
		args         func(address string) []string
	}{
		"send": {"Balsam-Endpoint: e\r\n", "secret", func(address string) []string {
			return []string{"send", "-to", address, "-tries", "1", "-route", "POST /b", "x"}
		}},
		"status":  {"", string(status), func(address string) []string { return []string{"status", address} }},
		"explain": {"", `[{"at_ns":1,"request":1,"what":"secret","detail":""}]`, func(address string) []string { return []string{"explain", address, "r"} }},
	} {
		sound := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", c.fields, len(c.body), c.body)
		texts := headtest.Defects(sound)
		texts["cut"] = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s", c.fields, c.body[:len(c.body)-2])
		_, out, errs := balsamctl(c.args(headtest.Serve(t, func(*http.Request) string { return sound }))...)
		must.StrContains(t, out, "secret", must.Sprint(errs))
		for name, text := range texts {
			t.Run(command+"/"+name, func(t *testing.T) {
				t.Parallel()
				code, out, errs := balsamctl(c.args(headtest.Serve(t, func(*http.Request) string { return text }))...)
				must.Eq(t, exitProblem, code)
				must.StrNotContains(t, out, "secre")
				must.NotEq(t, "", errs)
			})
		}
	}
}

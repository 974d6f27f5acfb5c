// Package headtest helps to test readers of responses with heads that are not well-formed.
package headtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Defects returns variants of a response that no reader may accept, by what is wrong with
// them. The response has the status 200 OK.
func Defects(response string) map[string]string {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	rest := strings.TrimPrefix(response, statusLine)
	variants := map[string]string{}
	for name, line := range map[string]string{
		"status 000":           "HTTP/1.1 000 OK\r\n",
		"status 000 alone":     "HTTP/1.1 000\r\n",
		"status 099":           "HTTP/1.1 099 OK\r\n",
		"status +20":           "HTTP/1.1 +20 OK\r\n",
		"status 000 after 103": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n",
	} {
		variants[name] = line + rest
	}
	for name, field := range map[string]string{
		"blank at the end of a name": "Custom : v",
		"blank in a name":            "Custom Name: v",
		"blank before the coding":    "Transfer-Encoding : chunked",
		"control byte in a name":     "Custom\x01: v",
		"tab in a name":              "Custom\t: v",
		"DEL in a name":              "Custom\x7f: v",
		"zero byte in a name":        "Cus\x00tom: v",
		"byte over 0x7f in a name":   "Custom\xe9: v",
		"no name":                    ": v",
	} {
		variants[name] = statusLine + field + "\r\n" + rest
	}
	variants["blank before the length"] = strings.Replace(response, "Content-Length:", "Content-Length :", 1)
	return variants
}

// Serve answers each request with the bytes that respond returns, closes the connection, and
// returns its address.
func Serve(t testing.TB, respond func(r *http.Request) string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, respond(r))
			}()
		}
	}()
	return listener.Addr().String()
}

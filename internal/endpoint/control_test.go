package endpoint

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func jsonAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func TestControlCalls(t *testing.T) {
	answers := map[string]string{
		"GET /v1/load":                 jsonAnswer(200, `{"running":3,"waiting":4,"decode_tokens_per_second":5.5,"leaving":true,"started":18446744073709551615,"measured_ms_ago":1500,"more":1}`),
		"GET /v1/cache-events?after=7": jsonAnswer(200, `[{"sequence":9,"prefix":"18446744073709551614","held":true},{"sequence":12,"prefix":5}]`),
		"GET /v1/orders":               jsonAnswer(200, `{"fencing":4,"models":["a"]}`),
		"DELETE /v1/requests/r":        jsonAnswer(404, ""),
		"DELETE /v1/requests/s":        jsonAnswer(500, ""),
	}
	endpoint := newRawEndpoint(t, func(e exchange) bool {
		answer := answers[e.request.Method+" "+e.request.URL.RequestURI()]
		if e.request.Method == "POST" {
			answer = jsonAnswer(map[string]int{
				`{"fencing":5,"models":["a","b"]}`: 200,
				`{"fencing":3,"models":null}`:      409,
			}[e.body], "")
		}
		e.write(answer)
		return true
	})
	client := newClient(t, Config{})
	load, err := client.Load(t.Context(), endpoint.address)
	must.NoError(t, err)
	must.GreaterEq(t, 1500*time.Millisecond, load.Age)
	load.Age = 0
	must.Eq(t, Load{Running: 3, Waiting: 4, DecodeTokensPerSecond: 5.5, Leaving: true, Started: 1<<64 - 1}, load)

	events, err := client.CacheEvents(t.Context(), endpoint.address, 7)
	must.NoError(t, err)
	must.Eq(t, []CacheEvent{{9, 1<<64 - 2, true}, {12, 5, false}}, events)

	order, err := client.ReadOrder(t.Context(), endpoint.address)
	must.NoError(t, err)
	must.Eq(t, Order{Fencing: 4, Models: []string{"a"}}, order)
	must.NoError(t, client.SendOrder(t.Context(), endpoint.address, Order{Fencing: 5, Models: []string{"a", "b"}}))
	must.ErrorIs(t, client.SendOrder(t.Context(), endpoint.address, Order{Fencing: 3}), ErrStaleFencing)

	must.NoError(t, client.Cancel(t.Context(), endpoint.address, "r"))
	must.Eq(t, error(&StatusError{500}), client.Cancel(t.Context(), endpoint.address, "s"))
}

func TestInvalidLoadReportsAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"negative":  jsonAnswer(200, `{"running":-1}`),
		"not json":  jsonAnswer(200, `{`),
		"bad type":  jsonAnswer(200, `{"started":-1}`),
		"too large": jsonAnswer(200, strings.Repeat(" ", maxLoadBytes+1)),
		"status":    jsonAnswer(503, `{}`),
		"truncated": jsonAnswer(200, `{"running":1}`)[:50],
	} {
		endpoint := newRawEndpoint(t, func(e exchange) bool { e.write(answer); return false })
		_, err := newClient(t, Config{}).Load(t.Context(), endpoint.address)
		must.Error(t, err, must.Sprint(name))
	}
	must.Eq(t, time.Second, reportAge(-5, time.Second))
	must.Eq(t, maxReportAge, reportAge(1e300, 0))
}

// A load report is requested again after a pooled connection was lost; an order
// is never sent again.
func TestOnlyIdempotentCallsAreRetriedAfterConnectionLoss(t *testing.T) {
	endpoint := newRawEndpoint(t, func(e exchange) bool {
		if e.connRequestNumber == 2 || e.request.URL.Path == "/v1/orders" {
			return false
		}
		e.write(jsonAnswer(200, "{}"))
		return true
	})
	client := newClient(t, Config{})
	for range 2 {
		_, err := client.Load(t.Context(), endpoint.address)
		must.NoError(t, err)
	}
	must.Eq(t, 3, endpoint.requestCount())
	must.Error(t, client.SendOrder(t.Context(), endpoint.address, Order{Fencing: 1}))
	must.Eq(t, 4, endpoint.requestCount())
}

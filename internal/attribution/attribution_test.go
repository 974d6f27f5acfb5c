package attribution

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an answer to another request that is taken for that of this one, above all
// a refusal that an endpoint sends again on a kept connection.
func TestAttribute(t *testing.T) {
	for name, c := range map[string]struct {
		head Head
		want Verdict
	}{
		"own ID, new connection":         {Head{RequestID: "a", EchoedIDs: []string{"a"}}, Own},
		"own ID, kept connection":        {Head{RequestID: "a", EchoedIDs: []string{"a"}, Reused: true}, Own},
		"own ID twice":                   {Head{RequestID: "a", EchoedIDs: []string{"a", "a"}, Reused: true}, Own},
		"own and another ID":             {Head{RequestID: "a", EchoedIDs: []string{"a", "b"}, Reused: true}, Foreign},
		"another ID, new connection":     {Head{RequestID: "a", EchoedIDs: []string{"b"}}, Foreign},
		"another ID, kept connection":    {Head{RequestID: "a", EchoedIDs: []string{"b"}, Reused: true}, Foreign},
		"empty ID":                       {Head{RequestID: "a", EchoedIDs: []string{""}, Reused: true}, Foreign},
		"no ID, new connection":          {Head{RequestID: "a"}, Own},
		"no ID, kept connection":         {Head{RequestID: "a", Reused: true}, Unnamed},
		"no ID, instance":                {Head{RequestID: "a", Reused: true, Peer: true}, Own},
		"another ID, instance":           {Head{RequestID: "a", EchoedIDs: []string{"b"}, Peer: true}, Foreign},
		"request without ID":             {Head{Reused: true}, Own},
		"ID for a request without one":   {Head{EchoedIDs: []string{"b"}, Reused: true}, Foreign},
		"ID of the endpoint's own, new":  {Head{EchoedIDs: []string{"b"}}, Own},
		"two IDs, request without an ID": {Head{EchoedIDs: []string{"b", "c"}, Reused: true}, Foreign},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, Attribute(c.head)) })
	}
}

// Guards against a kept connection on which the next answer can't be attributed.
func TestReusable(t *testing.T) {
	must.True(t, Reusable(Head{RequestID: "a", EchoedIDs: []string{"a"}}))
	must.False(t, Reusable(Head{RequestID: "a"}))
	must.True(t, Reusable(Head{}))
	must.True(t, Reusable(Head{RequestID: "a", Peer: true}))
}

// Guards against a status that tells a caller to send a request again although it ran.
func TestMayPassOn(t *testing.T) {
	for status := 200; status < 600; status++ {
		promise := status == 408 || status == 421 || status == 429 || status == http.StatusServiceUnavailable
		must.Eq(t, promise, PromisesNotRun(status))
		must.Eq(t, !promise, MayPassOn(status, false))
		must.True(t, MayPassOn(status, true))
	}
}

// Guards against a stream that broke off and ends as complete because the next endpoint
// answered without an event.
func TestProvesEnd(t *testing.T) {
	must.True(t, StreamEnd{Events: 1}.ProvesEnd())
	must.True(t, StreamEnd{Events: 1, Continued: true, CloseDelimited: true}.ProvesEnd())
	must.False(t, StreamEnd{Continued: true}.ProvesEnd())
	must.False(t, StreamEnd{Continued: true, CloseDelimited: true}.ProvesEnd())
	must.False(t, StreamEnd{CloseDelimited: true, FromStart: true}.ProvesEnd())
	must.True(t, StreamEnd{FromStart: true}.ProvesEnd())
	must.True(t, StreamEnd{CloseDelimited: true}.ProvesEnd())
}

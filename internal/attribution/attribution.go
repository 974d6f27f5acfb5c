// Package attribution decides what an endpoint's answer proves: whether it belongs to the
// request that is on its connection, whether its status may be passed on as a promise that
// the request has not run, and whether the end of a stream is the end of the answer. It
// does no I/O. The facts come from the connection and the head of the answer, so they have
// no age. Package endpoint asks for each answer that it reads, the gateway and the callers'
// mode ask before they pass on a status or end a stream.
//
// The design is described in docs/design/believing-answers.md.
package attribution

import "slices"

// Head is what is known of an answer once its head was read.
type Head struct {
	// RequestID is the ID that the request carried; empty if it had none.
	RequestID string
	// EchoedIDs are the IDs that the answer carries.
	EchoedIDs []string
	// Reused is set if the connection has carried another request before.
	Reused bool
	// Peer is set for answers of other instances. Their server writes one answer a
	// request, and earlier versions of it name no request when they refuse one.
	Peer bool
}

// Verdict says which request an answer belongs to.
type Verdict int

// The verdicts.
const (
	// Own means that the answer belongs to the request.
	Own Verdict = iota
	// Foreign means that the answer names another request.
	Foreign
	// Unnamed means that the answer names no request and may be that of an earlier one.
	Unnamed
)

var verdictNames = [...]string{"own", "other_request", "no_request"}

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Attribute returns which request an answer belongs to. An answer that names no request is
// that of the request only if no other request can have caused it: on a connection that
// has carried none before.
func Attribute(h Head) Verdict {
	names := func(id string) bool { return id == h.RequestID }
	switch {
	case len(h.EchoedIDs) == 0 && h.RequestID == "":
		// The request can't be told from others by its ID.
		return Own
	case len(h.EchoedIDs) == 0 && h.Reused && !h.Peer:
		return Unnamed
	case len(h.EchoedIDs) == 0:
		return Own
	case h.RequestID == "" && !h.Reused, slices.ContainsFunc(h.EchoedIDs, names) && !slices.ContainsFunc(h.EchoedIDs, func(id string) bool { return !names(id) }):
		return Own
	}
	return Foreign
}

// Reusable reports whether the connection may carry another request after an answer. The
// next answer can be attributed only if the endpoint names the requests that it answers.
func Reusable(h Head) bool {
	return h.Peer || h.RequestID == "" || len(h.EchoedIDs) > 0
}

package reducer

// maxDecisions bounds the decisions kept for State.Explain, over all requests.
const maxDecisions = 1024

// Decision is one step in the handling of a request, such as "granted",
// "dispatched" or "refused".
type Decision struct {
	// At is on the instance's boot-time clock, in nanoseconds.
	At      Instant   `json:"at_ns"`
	Request RequestID `json:"request"`
	Action  string    `json:"what"`
	// Detail is an endpoint, an instance or a reason.
	Detail string `json:"detail"`
}

// decisionLog keeps the most recent decisions in a ring buffer.
type decisionLog struct {
	ring []Decision
	next int
}

func newDecisionLog() *decisionLog {
	return &decisionLog{ring: make([]Decision, 0, maxDecisions)}
}

func (l *decisionLog) add(at Instant, id RequestID, action, detail string) {
	d := Decision{At: at, Request: id, Action: action, Detail: detail}
	if len(l.ring) < maxDecisions {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.next] = d
	l.next = (l.next + 1) % maxDecisions
}

// forRequest returns the decisions on one request, oldest first.
func (l *decisionLog) forRequest(id RequestID) []Decision {
	var all []Decision
	for i := range l.ring {
		if d := l.ring[(l.next+i)%len(l.ring)]; d.Request == id {
			all = append(all, d)
		}
	}
	return all
}

package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// outputKey identifies a mean answer length.
type outputKey struct {
	organisation string
	pool         string
	tier         string
}

// Constants of the estimates of answer lengths and run times.
const (
	// outputWeight is the weight of one answer in the moving average.
	outputWeight = 0.1
	// outputMargin scales the mean to an estimate that few answers exceed.
	outputMargin = 1.5
	// meanRunWeight is the weight of one run in the mean run time of a pool.
	meanRunWeight = 0.05
	// maxMeanOutputs bounds the number of mean answer lengths kept.
	maxMeanOutputs = 20_000
)

// expectedOutput estimates the output tokens of a request from earlier answers
// of the same organisation, pool and tier.
func (s *State) expectedOutput(q *Request) int {
	l, ok := s.meanOutputs[outputKey{q.Organisation, q.Pool, q.Tier}]
	if !ok {
		return q.OutputTokens
	}
	return min(q.OutputTokens, int(l*outputMargin)+1)
}

func (s *State) updateMeanOutput(q *Request, output int) {
	k := outputKey{q.Organisation, q.Pool, q.Tier}
	l, ok := s.meanOutputs[k]
	switch {
	case ok:
		s.meanOutputs[k] = l + outputWeight*(float64(output)-l)
	case len(s.meanOutputs) < maxMeanOutputs:
		s.meanOutputs[k] = float64(output)
	}
}

// dispatchDone ends a request, or retries it if certainly no byte was sent.
func (s *State) dispatchDone(ev DispatchDone) {
	r := s.requests[ev.Request]
	if r == nil || r.phase != dispatched {
		return
	}
	res := ev.Result
	if res.Ended == EndedNotSent {
		s.retry(r, RetryNotSent, &peerpb.Release{Failed: true})
		return
	}
	if res.Ended == EndedLeaseExpired {
		s.retry(r, RetryLeaseExpired, &peerpb.Release{})
		return
	}
	s.sendRelease(r.owner, r.id, r.endpoint, &peerpb.Release{
		Dispatched:   true,
		PromptTokens: uint32(res.PromptTokens), CachedTokens: uint32(res.CachedTokens),
		OutputTokens: uint32(res.OutputTokens),
		ElapsedMs:    uint32(res.Elapsed / time.Millisecond), FirstTokenMs: uint32(res.FirstToken / time.Millisecond),
		Crashed: res.Ended == EndedBroken,
		Failed:  res.Ended != EndedComplete,
	})
	s.accountUsage(r, res)
	s.recordResult(r, res)
	s.removeRequest(r)
	s.checkStopped()
}

// recordResult records the outcome of a dispatched request. If the run broke off
// or was cancelled, it refuses the waiters, since package traffic has no
// complete answer for them.
func (s *State) recordResult(r *request, res Result) {
	switch res.Ended {
	case EndedComplete:
		s.count(CounterAnswers, s.tierName(r.rank), 1)
		s.decisions.add(s.now, r.id, "answered", r.endpoint)
		s.addRecord(r, completed, res.Kept)
		return
	case EndedRejected:
		s.addRecord(r, completed, res.Kept)
		s.count(CounterRefusals, string(refusal.EndpointRejected), 1)
		return
	}
	reason := refusal.EndpointFailed
	if r.answerStarted {
		reason = refusal.AnswerCut
	}
	s.decisions.add(s.now, r.id, "broken", r.endpoint)
	if s.cfg.Guards.NoUnknownOnFail {
		reason = refusal.NoEndpoint
	}
	for _, w := range r.waiters {
		s.refuse(w, r.id, reason, 0)
	}
	s.addRecord(r, outcomeUnknown, false)
}

// accountUsage settles the spend and counts tokens and wasted prefill.
func (s *State) accountUsage(r *request, res Result) {
	e := s.endpoints[r.endpoint]
	price := r.reservedMicros
	if e != nil && e.class != nil && res.Ended != EndedBroken {
		price = e.class.Price(res.PromptTokens, res.CachedTokens, res.OutputTokens)
	}
	s.count(CounterSpend, s.tierName(r.rank), price)
	s.settle(r, price)
	if e == nil || e.class == nil || e.class.Kind != declared.KindEngine {
		return
	}
	prefill := max(0, res.PromptTokens-res.CachedTokens)
	s.count(CounterPrefill, "", int64(prefill))
	s.count(CounterCachedPrefill, "", int64(res.CachedTokens))
	s.count(CounterGenerated, "", int64(res.OutputTokens))
	switch {
	case res.Ended == EndedCancelled:
		s.count(CounterWastedPrefill, string(WasteCancelled), int64(prefill))
	case res.Ended == EndedBroken:
		s.count(CounterWastedPrefill, string(WasteBroken), int64(max(prefill, r.req.PromptTokens)))
	case s.now >= r.deadline:
		s.count(CounterWastedPrefill, string(WasteLate), int64(prefill))
	}
	if p := s.pools[r.req.Pool]; p != nil && res.Ended == EndedComplete {
		p.meanRunSeconds += meanRunWeight * (res.Elapsed.Seconds() - p.meanRunSeconds)
	}
	if res.Ended == EndedComplete {
		s.updateMeanOutput(&r.req, res.OutputTokens)
	}
}

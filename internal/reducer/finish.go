package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// lengthKey is what answer lengths are learnt by.
type lengthKey struct {
	organisation string
	pool         string
	tier         string
}

// Length constants.
const (
	// lengthWeight is the weight of one answer in the moving average.
	lengthWeight = 0.1
	// lengthMargin scales the average up to an expectation that few exceed.
	lengthMargin = 1.5
	// meanRunWeight is the weight of one run in a pool's usual time.
	meanRunWeight = 0.05
	// maxLengths bounds the learnt averages.
	maxLengths = 20_000
)

// likelyOutput is what an answer of this organisation and tier usually takes.
func (s *State) likelyOutput(q *Request) int {
	l, ok := s.lengths[lengthKey{q.Organisation, q.Pool, q.Tier}]
	if !ok {
		return q.OutputTokens
	}
	return min(q.OutputTokens, int(l*lengthMargin)+1)
}

func (s *State) learnLength(q *Request, output int) {
	k := lengthKey{q.Organisation, q.Pool, q.Tier}
	l, ok := s.lengths[k]
	switch {
	case ok:
		s.lengths[k] = l + lengthWeight*(float64(output)-l)
	case len(s.lengths) < maxLengths:
		s.lengths[k] = float64(output)
	}
}

// dispatchDone ends a request, or takes it back where certainly no byte left.
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
	if res.Ended == EndedWithheld {
		s.retry(r, RetryLeaseExpired, &peerpb.Release{})
		return
	}
	s.sendRelease(r.owner, r.id, r.endpoint, &peerpb.Release{
		Dispatched:   true,
		PromptTokens: uint32(res.PromptTokens), CachedTokens: uint32(res.CachedTokens),
		OutputTokens: uint32(res.OutputTokens),
		ElapsedMs:    uint32(res.Elapsed / time.Millisecond), FirstTokenMs: uint32(res.FirstToken / time.Millisecond),
		Crashed: res.Ended == EndedBroken,
		Failed:  res.Ended != EndedWhole,
	})
	s.account(r, res)
	s.conclude(r, res)
	s.drop(r)
	s.checkStopped()
}

// conclude tells waiters what traffic could not show them and remembers the
// end.
func (s *State) conclude(r *request, res Result) {
	switch res.Ended {
	case EndedWhole:
		s.count(CounterAnswers, s.tierName(r.rank), 1)
		s.recent.add(s.now, r.id, "answered", r.endpoint)
		s.remember(r, ranWhole, res.Kept)
		return
	case EndedRejected:
		s.remember(r, ranWhole, res.Kept)
		s.count(CounterRefusals, string(refusal.EndpointRejected), 1)
		return
	}
	reason := refusal.EndpointFailed
	if r.answering {
		reason = refusal.AnswerCut
	}
	s.recent.add(s.now, r.id, "broken", r.endpoint)
	if s.cfg.Guards.NoUnknownOnFail {
		reason = refusal.NoEndpoint
	}
	for _, w := range r.waiters {
		s.refuse(w, r.id, reason, 0)
	}
	s.remember(r, ranUnknown, false)
}

// account settles spend and counts tokens and waste.
func (s *State) account(r *request, res Result) {
	e := s.endpoints[r.endpoint]
	price := r.reserved
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
	if p := s.pools[r.req.Pool]; p != nil && res.Ended == EndedWhole {
		p.meanRunSeconds += meanRunWeight * (res.Elapsed.Seconds() - p.meanRunSeconds)
	}
	if res.Ended == EndedWhole {
		s.learnLength(&r.req, res.OutputTokens)
	}
}

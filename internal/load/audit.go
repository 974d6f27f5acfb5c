package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// Audit compares the outcomes at callers with the requests that endpoints
// received. Each list contains user markers.
type Audit struct {
	// Dispatches counts the requests of the load that endpoints received.
	Dispatches int `json:"dispatches"`
	// DispatchedTwice lists the requests that were dispatched more than once.
	DispatchedTwice []string `json:"twice"`
	// RanAfterRefusal lists the requests that were refused as not run, but were
	// dispatched.
	RanAfterRefusal []string `json:"ran_though"`
	// WithoutDispatch lists the requests with a complete answer that no endpoint
	// received.
	WithoutDispatch []string `json:"unseen"`
	// PromptTokens, CachedTokens and WastedTokens measure the prefill work.
	// WastedTokens are the tokens that were read for requests without a complete
	// answer.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	WastedTokens int `json:"wasted_tokens"`
}

// HasViolations reports whether the audit found a request in DispatchedTwice,
// RanAfterRefusal or WithoutDispatch, which must never happen.
func (a *Audit) HasViolations() bool {
	return len(a.DispatchedTwice)+len(a.RanAfterRefusal)+len(a.WithoutDispatch) > 0
}

// Check compares a report with the record of the endpoints.
func Check(r *Report, runs []standin.Run) *Audit {
	a := &Audit{}
	byUser := make(map[string][]standin.Run)
	for _, run := range runs {
		byUser[run.User] = append(byUser[run.User], run)
	}
	for _, o := range r.Outcomes {
		a.checkOutcome(&o, byUser[o.User])
	}
	return a
}

func (a *Audit) checkOutcome(o *Outcome, runs []standin.Run) {
	a.Dispatches += len(runs)
	if len(runs) > 1 {
		a.DispatchedTwice = append(a.DispatchedTwice, o.User)
	}
	if o.Ended == EndedRefused && o.NotRun && len(runs) > 0 {
		a.RanAfterRefusal = append(a.RanAfterRefusal, o.User)
	}
	if o.Ended == EndedComplete && len(runs) == 0 {
		a.WithoutDispatch = append(a.WithoutDispatch, o.User)
	}
	for _, run := range runs {
		a.PromptTokens += run.PromptTokens
		a.CachedTokens += run.CachedTokens
		if o.Ended != EndedComplete {
			a.WastedTokens += run.PromptTokens - run.CachedTokens
		}
	}
}

// FetchRuns reads the record of all stand-ins from their control address.
func FetchRuns(ctx context.Context, address string) ([]standin.Run, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/runs?all=1", nil)
	if err != nil {
		return nil, err
	}
	response, err := httphead.Do(http.DefaultClient, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("record of runs: unexpected status %d", response.StatusCode)
	}
	var runs []standin.Run
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return nil, errors.Wrap(err, "decode the record of runs")
	}
	return runs, nil
}

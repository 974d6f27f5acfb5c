package standin

import (
	"io"
	"net/http"
	"time"
)

// EngineFaults are the faults of an engine, set by POST /standin/faults. A
// field that the body leaves out keeps its value.
type EngineFaults struct {
	// SlowFactor lengthens every step; zero and one mean no change.
	SlowFactor float64 `json:"slow_factor"`
	// LoadLagMS is the age of the load reports.
	LoadLagMS int64 `json:"load_lag_ms"`
	// CacheEventLagMS is how late cache events are told, and
	// CacheEventLossPercent how many are never told.
	CacheEventLagMS       int64   `json:"cache_event_lag_ms"`
	CacheEventLossPercent float64 `json:"cache_event_loss_percent"`
	// Leaving is announced in the load reports; the engine still admits all.
	Leaving bool `json:"leaving"`
	// CrashMarker crashes the engine when a body contains it.
	CrashMarker string `json:"crash_marker"`
	// RestartMS is for how long a crashed engine refuses connections.
	RestartMS int64 `json:"restart_ms"`
	// Silent accepts connections and never answers.
	Silent bool `json:"silent"`
	// AnswerDelayMS holds back the answer of a request that runs.
	AnswerDelayMS int64 `json:"answer_delay_ms"`
	// CutAfterEvents drops the connection of each new stream after that many
	// events; the work goes on and the stream can be resumed. Zero is never.
	CutAfterEvents int `json:"cut_after_events"`
	// CrossedPercent of the requests get the answer of another one that runs.
	CrossedPercent float64 `json:"crossed_percent"`
}

// faultSetter is a stand-in whose faults can be set.
type faultSetter interface {
	// setFaultsJSON merges the fields of a JSON object into the faults.
	setFaultsJSON(body []byte) error
}

// Faults returns the faults in force.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults puts faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.leavingSince = leavingSince(e.leavingSince, f.Leaving)
}

func (e *Engine) setFaultsJSON(body []byte) error {
	f := e.Faults()
	if err := unmarshalStrict(body, &f); err != nil {
		return err
	}
	e.SetFaults(f)
	return nil
}

func leavingSince(since time.Time, leaving bool) time.Time {
	switch {
	case !leaving:
		return time.Time{}
	case since.IsZero():
		return time.Now()
	default:
		return since
	}
}

// serveFaults serves POST /standin/faults and reports whether it did.
func serveFaults(s faultSetter, w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/standin/faults" {
		return false
	}
	if r.Method != http.MethodPost {
		http.Error(w, "only POST", http.StatusMethodNotAllowed)
		return true
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = s.setFaultsJSON(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return true
	}
	w.WriteHeader(http.StatusNoContent)
	return true
}

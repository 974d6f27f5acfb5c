package standin

import (
	"io"
	"net/http"
	"time"
)

// EngineFaults are the faults of an engine, set by POST /standin/faults. A
// field that is absent from the body keeps its value.
type EngineFaults struct {
	// SlowFactor multiplies the duration of every step. Zero and one mean no
	// change.
	SlowFactor float64 `json:"slow_factor"`
	// LoadLagMS is the age of the load reports.
	LoadLagMS int64 `json:"load_lag_ms"`
	// CacheEventLagMS delays the report of cache events, and
	// CacheEventLossPercent of them are never reported.
	CacheEventLagMS       int64   `json:"cache_event_lag_ms"`
	CacheEventLossPercent float64 `json:"cache_event_loss_percent"`
	// Leaving is set in the load reports. The engine still admits requests.
	Leaving bool `json:"leaving"`
	// CrashMarker crashes the engine when a body contains it.
	CrashMarker string `json:"crash_marker"`
	// RestartMS is how long a crashed engine refuses connections.
	RestartMS int64 `json:"restart_ms"`
	// Silent accepts connections and never responds.
	Silent bool `json:"silent"`
	// AnswerDelayMS delays the response of a running request.
	AnswerDelayMS int64 `json:"answer_delay_ms"`
	// CutAfterEvents closes the connection of each new stream after that many
	// events. Generation continues and the stream can be resumed. Zero turns
	// the fault off.
	CutAfterEvents int `json:"cut_after_events"`
	// RequestIDMismatchPercent of the requests get the answer of another running
	// request.
	RequestIDMismatchPercent float64 `json:"crossed_percent"`
}

// faultSetter is a stand-in whose faults can be set.
type faultSetter interface {
	// setFaultsJSON merges the fields of a JSON object into the faults.
	setFaultsJSON(body []byte) error
}

// Faults returns the current faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.drainingSince = updateDrainingSince(e.drainingSince, f.Leaving)
}

func (e *Engine) setFaultsJSON(body []byte) error {
	f := e.Faults()
	if err := unmarshalStrict(body, &f); err != nil {
		return err
	}
	e.SetFaults(f)
	return nil
}

func updateDrainingSince(since time.Time, leaving bool) time.Time {
	switch {
	case !leaving:
		return time.Time{}
	case since.IsZero():
		return time.Now()
	default:
		return since
	}
}

// serveFaults serves POST /standin/faults. It returns false for other paths.
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

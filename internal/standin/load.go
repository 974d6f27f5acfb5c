package standin

import (
	"net/http"
	"time"
)

const (
	// loadWindow is the time over which the decode rate is measured.
	loadWindow = time.Second
	// loadHistoryLength limits the lag of a load report.
	loadHistoryLength = time.Minute
)

// LoadReport is the body of GET /v1/load.
type LoadReport struct {
	Running               int     `json:"running"`
	Waiting               int     `json:"waiting"`
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second"`
	Leaving               bool    `json:"leaving"`
	// Started is a random identifier of the endpoint's process.
	Started uint64 `json:"started"`
	// MeasuredMSAgo is the age of the report.
	MeasuredMSAgo int64 `json:"measured_ms_ago"`
}

// loadSample is the load from one time until the next sample.
type loadSample struct {
	at      time.Time
	running int
	waiting int
	// tokens counts all tokens generated before the sample.
	tokens int
}

// loadHistory holds the load samples of the last loadHistoryLength.
type loadHistory struct {
	samples []loadSample
	tokens  int
}

func (h *loadHistory) addSample(running, waiting int) {
	now := time.Now()
	h.samples = append(h.samples, loadSample{at: now, running: running, waiting: waiting, tokens: h.tokens})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) > loadHistoryLength+loadWindow {
		h.samples = h.samples[1:]
	}
}

// sampleAt returns the load at time t.
func (h *loadHistory) sampleAt(t time.Time) loadSample {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i]
		}
	}
	return loadSample{}
}

func (h *loadHistory) report(t time.Time) LoadReport {
	s := h.sampleAt(t)
	generated := s.tokens - h.sampleAt(t.Add(-loadWindow)).tokens
	return LoadReport{
		Running: s.running, Waiting: s.waiting,
		DecodeTokensPerSecond: float64(generated) / loadWindow.Seconds(),
	}
}

// recordLoad records the load of the batch. The caller must hold Engine.mu.
func (p *engineProcess) recordLoad(maxBatch int) {
	running := min(len(p.batch), maxBatch)
	p.load.addSample(running, len(p.batch)-running)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	lag := time.Duration(e.faults.LoadLagMS) * time.Millisecond
	report := e.process.load.report(time.Now().Add(-lag))
	report.MeasuredMSAgo = lag.Milliseconds()
	report.Leaving = !e.drainingSince.IsZero()
	report.Started = e.process.startID
	e.mu.Unlock()
	writeJSON(w, report)
}

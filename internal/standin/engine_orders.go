package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

func (e *Engine) serveSetOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&o); err != nil {
		http.Error(w, "the body is no order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && o.Fencing < e.process.fencing {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	e.process.fencing = o.Fencing
	e.process.models = o.Models
	writeJSON(w, o)
}

func (e *Engine) serveGetOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	o := order{Fencing: e.process.fencing, Models: slices.Clone(e.process.models)}
	e.mu.Unlock()
	writeJSON(w, o)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "the sequence is no number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	lag := time.Duration(e.faults.CacheEventLagMS) * time.Millisecond
	events := e.process.cache.eventsAfter(after, time.Now().Add(-lag))
	delivered := events[:0]
	for _, event := range events {
		if !eventLost(e.settings.Seed, event.Sequence, e.faults.CacheEventLossPercent) {
			delivered = append(delivered, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, delivered)
}

// eventLost reports whether an event is never reported. It depends only on the
// seed and the sequence, so that a repeated read does not return a lost event.
func eventLost(seed, sequence uint64, percent float64) bool {
	return rand.New(rand.NewPCG(seed, sequence)).Float64()*100 < percent
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store. It answers the three reading calls
// of PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []event
	// dropped is the revision up to which the history is no longer available.
	dropped int64
	changed chan struct{}
	// cut is closed when the machines reach the store again; nil while they do.
	cut chan struct{}
}

// event is a change with its time.
type event struct {
	item
	at time.Time
}

// historyTime is HistoryS.
const historyTime = 20 * time.Second

// page is the largest number of items in an answer.
const page = 500

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a value and returns when it is acknowledged.
func (s *store) put(key string, value any) {
	data, raw := value.([]byte)
	if !raw {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.write(item{Key: key, Value: data, Revision: s.revision, Created: created})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.write(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) write(i item) {
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, event{i, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutOff cuts the zone of the machines and of the runners off from the store. The operator
// reaches it. Calls of the machines hang and are never answered; runners can't write, so that
// their entries expire after three heartbeats.
func (s *store) cutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = make(chan struct{})
	close(s.changed)
	s.changed = make(chan struct{})
	go s.expireEntries(s.cut)
}

// expireEntries removes the entries of the runners if the cut lasts long enough.
func (s *store) expireEntries(cut chan struct{}) {
	select {
	case <-cut:
		return
	case <-time.After(3 * heartbeat):
	}
	s.mu.Lock()
	var expired []string
	for key := range s.items {
		if strings.HasPrefix(key, "servers/") {
			expired = append(expired, key)
		}
	}
	s.mu.Unlock()
	for _, key := range expired {
		s.remove(key)
	}
}

// isCut reports whether the zone is cut off.
func (s *store) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut != nil
}

// reconnect ends the cut.
func (s *store) reconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = nil
}

// behindCut lets a call hang during a cut. It reports whether the call is lost.
func (s *store) behindCut(r *http.Request) bool {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut == nil {
		return false
	}
	select {
	case <-cut:
	case <-r.Context().Done():
	}
	return true
}

// forget drops the history that is too old.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /balsamstair/kv-key", s.serveKey)
	mux.HandleFunc("GET /balsamstair/kv-range", s.serveRange)
	mux.HandleFunc("GET /balsamstair/kv-watch", s.serveWatch)
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.behindCut(r) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	}))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		CurrentRev int64
	}{i, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > page
	if more {
		found = found[:page]
	}
	writeJSON(w, map[string]any{"Items": found, "HasMore": more, "CurrentRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("Prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		if s.behindCut(r) {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		s.forget()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.item)
			}
		}
		revision, changed, gone := s.revision, s.changed, after < s.dropped
		s.mu.Unlock()
		if gone {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
	}
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

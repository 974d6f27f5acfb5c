package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Deleted  bool `json:",omitempty"`
}

// store stands in for the platform's store.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	history []item
	// oldest is the revision before which the history is gone.
	oldest, revision, era int64
	changed               chan struct{}
	// down is set while every call is answered 503.
	down   bool
	copies []storeCopy

	address string
}

// storeCopy is the content of the store after a write.
type storeCopy struct {
	at       time.Time
	items    map[string]item
	revision int64
}

func newStore() (*store, error) {
	s := &store{items: map[string]item{}, revision: 1, era: 1, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes a key. The write is acknowledged when put returns.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision}
	s.items[key] = i
	s.history = append(s.history, i)
	s.copies = append(s.copies, storeCopy{time.Now(), maps.Clone(s.items), s.revision})
	s.wake()
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.copies = append(s.copies, storeCopy{time.Now(), maps.Clone(s.items), s.revision})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore replaces the content by a copy of the given age, with a new era.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-age)
	n := sort.Search(len(s.copies), func(i int) bool { return s.copies[i].at.After(at) })
	c := s.copies[n-1]
	s.copies = s.copies[:n]
	s.items, s.revision, s.oldest, s.history = maps.Clone(c.items), c.revision, c.revision, nil
	s.era++
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/balsamstair/kv-key":
		s.key(w, r.URL.Query().Get("Key"))
	case r.URL.Path == "/balsamstair/kv-range":
		s.list(w, r.URL.Query().Get("Prefix"), r.URL.Query().Get("After"))
	case r.URL.Path == "/balsamstair/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) key(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, known := s.items[key]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(i)
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	answer := struct {
		Items      []item
		HasMore    bool
		CurrentRev int64
	}{Items: []item{}, CurrentRev: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			answer.Items = append(answer.Items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Items, func(a, b int) bool { return answer.Items[a].Key < answer.Items[b].Key })
	if len(answer.Items) > pageItems {
		answer.Items, answer.HasMore = answer.Items[:pageItems], true
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.oldest || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		answer := struct {
			Events     []item `json:"events"`
			CurrentRev int64
		}{Events: []item{}, CurrentRev: s.revision}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("Prefix")) {
				answer.Events = append(answer.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			_ = json.NewEncoder(w).Encode(answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

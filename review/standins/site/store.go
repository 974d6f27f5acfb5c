package site

import (
	"encoding/json"
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
	Created  int64
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

// Store is the platform's store, as far as it can be read: one item, a range and a
// watch. It loses nothing that it has acknowledged.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{items: map[string]item{}, revision: 100, changed: make(chan struct{})}
}

// Put writes a value as JSON. The write is acknowledged when Put returns.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: data})
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(item{Key: key, Deleted: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, known := s.items[i.Key]; known {
		i.Created = old.Created
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/balsamstair/kv-key":
		s.one(w, r.URL.Query().Get("Key"))
	case "/balsamstair/kv-range":
		s.list(w, r.URL.Query().Get("Prefix"))
	case "/balsamstair/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) one(w http.ResponseWriter, key string) {
	s.mu.Lock()
	found, known := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		item
		CurrentRev int64
	}{found, revision})
}

func (s *Store) list(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	answer := struct {
		Items      []item
		HasMore    bool
		CurrentRev int64
	}{Items: []item{}, CurrentRev: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			answer.Items = append(answer.Items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Items, func(i, j int) bool { return answer.Items[i].Key < answer.Items[j].Key })
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		answer := struct {
			Events     []item `json:"events"`
			CurrentRev int64
		}{Events: []item{}, CurrentRev: s.revision}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("Prefix")) {
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
		case <-deadline:
			_ = json.NewEncoder(w).Encode(answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

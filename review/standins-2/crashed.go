package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// engines is the number of engines, of which one crashes: 0.25 of them.
	engines = 4
	// streamsAtOnce is the number of streams that run as the engine crashes.
	streamsAtOnce = 36
)

// crash kills the first engine some time after it has begun to run a stream. The case ends
// before the platform would remove its entry.
func (s *streamSite) crash(after time.Duration) {
	s.mu.Lock()
	e := s.engines[0]
	s.mu.Unlock()
	for e.runs.Load() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(after)
	s.say("engine %s crashes (SIGKILL)", e.id)
	e.kill()
}

// crashDuringStreams kills one of four engines, whose answers have no length, in the
// middle of its streams.
func crashDuringStreams(rec *record, trouble bool) (broken bool, err error) {
	s, err := newStreamSite(rec, engines)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		go s.crash(1200 * time.Millisecond)
	}
	complete, cut, short := 0, 0, 0
	for _, x := range s.streams(streamsAtOnce, 20*time.Millisecond) {
		state := "is not complete"
		switch {
		case x.status == http.StatusOK && x.whole && len(x.events) == streamEvents:
			complete++
			state = "is complete"
		case x.status == http.StatusOK && x.whole:
			short++
			state = "LOOKS COMPLETE"
		default:
			cut++
		}
		s.logStream(x, state)
	}
	rec.say("of %d streams %d are complete, %d are broken off or failed, %d end as complete before their last event", streamsAtOnce, complete, cut, short)
	if complete == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return short > 0, nil
}

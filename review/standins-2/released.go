package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// releaseGap is the time between two replacements, drainTime is how long an engine
	// serves after its entry says that it drains: DrainMs and a little longer.
	releaseGap = time.Second
	drainTime  = 2500 * time.Millisecond
	// keptConnections is the number of connections that the clients keep.
	keptConnections = 24
)

// replace starts a new engine beside the one with an index, which then drains and ends.
func (s *streamSite) replace(index int, numbering string) error {
	s.mu.Lock()
	old := s.engines[index]
	s.mu.Unlock()
	e, err := s.add(old.id+"b", "v1.1", numbering)
	if err != nil {
		return err
	}
	s.mu.Lock()
	e.register(s.store, 1)
	old.state = "draining"
	old.register(s.store, 1000)
	s.mu.Unlock()
	s.say("release: %s (v1.1) is ready, %s (v1) drains", e.id, old.id)
	go func() {
		time.Sleep(drainTime)
		old.kill()
		s.store.remove("servers/" + old.id)
		s.log("%s has left", old.id)
	}()
	return nil
}

// releaseNumbering replaces two of four engines by ones of a version that numbers the
// events of a stream by tokens, and sends streams on connections that are kept.
func releaseNumbering(rec *record, trouble bool) (broken bool, err error) {
	s, err := newStreamSite(rec, engines, "from-one")
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	connections := make([]*connection, keptConnections)
	for k := range connections {
		i := s.instances[k%len(s.instances)]
		if connections[k], err = connect(i.address(callerPort)); err != nil {
			return false, err
		}
		defer connections[k].Close()
	}
	// all sends a stream on each connection and returns how many were complete, and how
	// many connections ended without a complete answer.
	all := func() (complete, cut, refused int) {
		results := make([]stream, keptConnections)
		var calls sync.WaitGroup
		for k, c := range connections {
			calls.Go(func() {
				time.Sleep(time.Duration(k) * 20 * time.Millisecond)
				results[k] = s.streamOn(c, s.instances[k%len(s.instances)])
			})
		}
		calls.Wait()
		for _, x := range results {
			state := "is complete"
			switch {
			case x.status == http.StatusOK && x.whole && len(x.events) == s.numbering.events:
				complete++
			case !x.whole:
				cut++
				state = "is CUT, and the connection is closed"
			default:
				refused++
				state = "is a refusal or failure"
			}
			s.logStream(x, state)
		}
		return complete, cut, refused
	}
	complete, cut, refused := all()
	rec.say("before: %d streams complete, %d cut, %d refused or failed", complete, cut, refused)
	if complete != keptConnections {
		return false, fmt.Errorf("not all streams were served before")
	}
	if trouble {
		for k := range engines / 2 {
			if err := s.replace(k, "by-tokens"); err != nil {
				return false, err
			}
			time.Sleep(releaseGap)
		}
	} else {
		time.Sleep(engines / 2 * releaseGap)
	}
	time.Sleep(drainTime + time.Second)
	complete, cut, refused = all()
	rec.say("after: %d streams complete, %d cut, %d refused or failed", complete, cut, refused)
	return cut > 3, nil
}

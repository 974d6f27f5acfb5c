package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// streamSite is a deployment of three instances before some engines.
type streamSite struct {
	*deployment

	mu      sync.Mutex
	engines []*engineProcess
	sent    int
}

const streamKey = "key-of-hule930"

// newStreamSite starts a deployment with n engines and waits for the start of traffic.
func newStreamSite(rec *record, n int) (*streamSite, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return nil, err
	}
	s := &streamSite{deployment: d}
	for k := range n {
		if _, err := s.add(fmt.Sprintf("i-llm%d", k+1)); err != nil {
			return s, err
		}
	}
	go func() {
		for sequence := 1; ; sequence++ {
			s.mu.Lock()
			for _, e := range s.engines {
				select {
				case <-e.exited:
				default:
					e.register(d.store, sequence)
				}
			}
			s.mu.Unlock()
			time.Sleep(heartbeat)
		}
	}()
	d.store.put("op/config", configuration(7, []tenant{newTenant("hule930", streamKey)}))
	if err := d.startAll(); err != nil {
		return s, err
	}
	return s, d.awaitTraffic()
}

// add starts an engine, which registers itself.
func (s *streamSite) add(id string) (*engineProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	e, err := startEngine(s.record, id, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	return e, nil
}

func (s *streamSite) close() {
	s.deployment.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.kill()
	}
}

// stream is one client's stream.
type stream struct {
	id string
	result
	// events are the ids of the events received.
	events []string
}

// stream sends a request for a stream to an instance and reads the answer.
func (s *streamSite) stream(i *instance) stream {
	s.mu.Lock()
	s.sent++
	n := s.sent
	s.mu.Unlock()
	id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+n)
	s.log("client sends stream %s to %s", id, i.name)
	r := send(i.address(callerPort), http.MethodPost, streamPrefix+"2f", id, streamKey, 15*time.Second,
		"Balsamstair-Model: m", "Balsamstair-Token-Usage: 603,280", fmt.Sprintf("Balsamstair-Prefix-Hash: 5c1e07a2:60,%x:543", 0xa0000+n))
	x := stream{id: id, result: r}
	for line := range strings.SplitSeq(r.body, "\n") {
		if event, ok := strings.CutPrefix(line, "id: "); ok {
			x.events = append(x.events, event)
		}
	}
	return x
}

// streams sends streams at the same time, spread over the instances, and returns them once
// all have ended.
func (s *streamSite) streams(n int, spacing time.Duration) []stream {
	out := make([]stream, n)
	var calls sync.WaitGroup
	for k := range n {
		calls.Go(func() {
			time.Sleep(time.Duration(k) * spacing)
			out[k] = s.stream(s.instances[k%len(s.instances)])
		})
	}
	calls.Wait()
	return out
}

func (s *streamSite) logStream(x stream, state string) {
	s.log("client of %s: status %d, %d of %d events (%s), the answer %s (%v)", x.id, x.status, len(x.events), streamEvents,
		strings.Join(x.events, " "), state, x.err)
}

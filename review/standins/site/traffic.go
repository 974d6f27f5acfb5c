package site

import (
	"fmt"
	"sync"
	"time"
)

// Call is one request of the traffic and its answer.
type Call struct {
	ID       string
	Instance *Instance
	Got      Got
}

// Traffic sends requests to all instances in turn, each on a new connection, one each
// interval, and returns them with their answers.
func (s *Site) Traffic(total int, interval time.Duration, method, path string, deadline time.Duration, body string, more ...string) []Call {
	calls := make([]Call, total)
	var all sync.WaitGroup
	for n := range calls {
		c := &calls[n]
		c.ID, c.Instance = fmt.Sprintf("9c41d07b%08x", n), s.Instances[n%len(s.Instances)]
		all.Go(func() { c.Got = s.Do(c.Instance, method, path, c.ID, deadline, body, more...) })
		time.Sleep(interval)
	}
	all.Wait()
	return calls
}

// RunsOf returns the runs of a request at all of some runners.
func RunsOf(runners []*Runner, id string) []Ran {
	var out []Ran
	for _, r := range runners {
		out = append(out, r.RunsOf(id)...)
	}
	return out
}

// AddRunners starts one runner of a service in each zone. answer makes the Answer of
// each.
func (s *Site) AddRunners(service string, answer func(n int) Answerer) ([]*Runner, error) {
	var out []*Runner
	for n, zone := range []string{"khomas-a", "khomas-b", "khomas-c"} {
		r, err := s.AddRunner(fmt.Sprintf("i-%s-%d", service, n+1), service, zone, "v1", answer(n))
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

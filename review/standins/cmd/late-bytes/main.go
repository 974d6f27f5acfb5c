// Command late-bytes plays the case of a faulty runner that sends additional bytes
// after a complete answer, which arrive late, where the next answer is expected.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"review/site"
)

const (
	// requests at interval are the plain requests of the deployment, some 44 a second.
	requests = 450
	interval = time.Second / 44
	// The dose of the pages' garble with "extra late": for 5 s a part of the runners,
	// here one of three, spoils 3 in 100 of its answers.
	faultBegins = 2 * time.Second
	faultTime   = 5 * time.Second
	spoiledOf   = 34
	// additional are the bytes: the answer with which runners shed a request, as the
	// pages show it. Nothing in it names a request.
	additional = "HTTP/1.1 503 Service Unavailable\r\nBalsamstair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// faulty is the runner that sends additional bytes.
type faulty struct {
	site *site.Site
	from time.Time

	mu      sync.Mutex
	answers int
	// late holds the ID of the answer after which bytes are due, by connection.
	late map[net.Conn]string
}

// next reports whether bytes are due on a connection, and after which answer.
func (f *faulty) next(c net.Conn) (after string, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, due = f.late[c]
	delete(f.late, c)
	return after, due
}

// answered counts a complete answer and decides whether bytes follow it.
func (f *faulty) answered(c net.Conn, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := time.Since(f.from)
	if !f.site.Trouble || f.from.IsZero() || since < faultBegins || since > faultBegins+faultTime {
		return
	}
	if f.answers++; f.answers%spoiledOf == 1 {
		f.late[c] = id
	}
}

func (f *faulty) answer(c net.Conn, r *http.Request) {
	id := r.Header.Get("Balsamstair-Attempt-Id")
	if after, due := f.next(c); due {
		f.site.Note("faulty runner: the additional bytes after its answer to %s arrive while %s is on the connection", after, id)
		_, _ = io.WriteString(c, additional)
	}
	time.Sleep(site.WorkTime)
	_, _ = io.WriteString(c, site.Answer(http.StatusOK, id, "answer to "+id))
	f.answered(c, id)
}

// attempts is the route's MaxAttempts: two, or what the variable ATTEMPTS says.
func attempts() int {
	if n, err := strconv.Atoi(os.Getenv("ATTEMPTS")); err == nil {
		return n
	}
	return 2
}

func main() {
	site.Run(3, func(s *site.Site) error {
		f := &faulty{site: s, late: map[net.Conn]string{}}
		runners, err := s.AddRunners("order-app", func(n int) site.Answerer {
			if n == 0 {
				return f.answer
			}
			return nil
		})
		if err != nil {
			return err
		}
		s.Configure(7, site.Route{Prefix: "/puxa403/", Kind: "unsafe", Service: "order-app", TimeoutMs: 1500, Attempts: attempts()})
		if err := s.WaitReady(); err != nil {
			return err
		}
		f.mu.Lock()
		f.from = time.Now()
		f.mu.Unlock()
		twice, untrue, served := 0, 0, 0
		for _, c := range s.Traffic(requests, interval, "POST", "/puxa403/2f", 1500*time.Millisecond, "deposit") {
			runs := site.RunsOf(runners, c.ID)
			if len(runs) > 1 {
				twice++
				s.Note("%s ran %d times, %d ms apart; its client got: %s", c.ID, len(runs), runs[1].At.Sub(runs[0].At).Abs().Milliseconds(), c.Got)
			}
			switch {
			case c.Got.Status == http.StatusServiceUnavailable && len(runs) > 0:
				untrue++
				s.Note("%s is told that it has not run; it ran %d times", c.ID, len(runs))
			case c.Got.Status == http.StatusOK:
				served++
			}
		}
		s.Note("%d unsafe requests, %d served, %d ran twice, %d told falsely that they have not run", requests, served, twice, untrue)
		switch {
		case twice > 0:
			return site.Violation{Text: fmt.Sprintf("TWICE: %d of %d unsafe requests ran more than once", twice, requests)}
		case untrue > 0:
			return site.Violation{Text: fmt.Sprintf("REFUSED: %d of %d requests were answered 503 though they had run", untrue, requests)}
		case served < requests/2:
			return fmt.Errorf("only %d of %d requests were served", served, requests)
		}
		return nil
	})
}

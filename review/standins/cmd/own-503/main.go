// Command own-503 plays the case of a runner that fails a part of its requests with
// status 503 after it has run them, while its health check is good.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"review/site"
)

const (
	requests = 300
	interval = time.Second / 44
	// The dose of the pages' srv_grey: for 6 s a part of the runners, here one of three,
	// fails two of five requests.
	faultBegins = time.Second
	faultTime   = 6 * time.Second
)

func main() {
	site.Run(3, site.KfoStairMemoryMb, func(s *site.Site) error {
		var mu sync.Mutex
		var from time.Time
		begun := 0
		answer := func(c net.Conn, r *http.Request) {
			id := r.Header.Get("Balsamstair-Attempt-Id")
			mu.Lock()
			since := time.Since(from)
			grey := s.Trouble && !from.IsZero() && since >= faultBegins && since <= faultBegins+faultTime
			if grey {
				begun++
			}
			fails := grey && begun%5 < 2
			mu.Unlock()
			time.Sleep(site.WorkTime)
			status, body := http.StatusOK, "answer to "+id
			if fails {
				status, body = http.StatusServiceUnavailable, "failed after the deposit was taken"
				s.Note("grey runner has run %s and answers %d, without Balsamstair-Not-Executed", id, status)
			}
			_, _ = io.WriteString(c, site.Answer(status, id, body))
		}
		runners, err := s.AddRunners("order-app", func(n int) site.Answerer {
			if n == 0 {
				return answer
			}
			return nil
		})
		if err != nil {
			return err
		}
		s.Configure(7, site.Route{Prefix: "/puxa403/", Kind: "unsafe", Service: "order-app", TimeoutMs: 1500, Attempts: 2})
		if err := s.WaitReady(); err != nil {
			return err
		}
		mu.Lock()
		from = time.Now()
		mu.Unlock()
		untrue, served := 0, 0
		for _, c := range s.Traffic(requests, interval, "POST", "/puxa403/2f", 1500*time.Millisecond, "deposit") {
			switch c.Got.Status {
			case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				if ran := len(site.RunsOf(runners, c.ID)); ran > 0 {
					untrue++
					s.Note("%s is told with %d that it has not run and never will; it ran %d times", c.ID, c.Got.Status, ran)
				}
			case http.StatusOK:
				served++
			}
		}
		s.Note("%d requests, %d served, %d told falsely that they have not run", requests, served, untrue)
		switch {
		case untrue > 0:
			return site.Violation{Text: fmt.Sprintf("REFUSED: %d of %d requests were answered 503 though they had run", untrue, requests)}
		case served < requests/2:
			return fmt.Errorf("only %d of %d requests were served", served, requests)
		}
		return nil
	})
}

// Command uploads plays the case of many clients that send large requests at once.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/site"
)

const (
	// The uploads are as large as MaxBodyBytes allows. Each takes 2.5 s of its deadline.
	bodyBytes      = 4 << 20
	bytesPerSecond = bodyBytes * 2 / 5
	uploadDeadline = 5 * time.Second
	// One of the deployment's six machines gets 231.8/6 requests a second; here a third
	// of them are uploads.
	uploadsPerSecond = 11.0
	playTime         = 16 * time.Second
	// The dose of the pages' burst: 2.1 times the requests for 2.5 s.
	faultBegins = 7 * time.Second
	faultTime   = 2500 * time.Millisecond
	faultFactor = 2.1
	// Beside them bookings of 400 ms each on kept connections.
	bookingClients  = 10
	bookingWork     = 400 * time.Millisecond
	bookingDeadline = 4 * time.Second
	// maxLost is the number of requests from kept connections that the rule allows.
	maxLost = 3
)

func main() {
	site.Run(3, site.PiedmontMemoryMb, func(s *site.Site) error {
		if _, err := s.AddRunners("weave-llm", func(int) site.Answerer { return nil }); err != nil {
			return err
		}
		desk, err := s.AddRunners("bench-desk", func(int) site.Answerer { return site.AnswerAfter(bookingWork) })
		if err != nil {
			return err
		}
		s.Configure(7,
			site.Route{Prefix: "/lohu930/", Kind: "unsafe", Service: "weave-llm", TimeoutMs: 5000, Attempts: 1},
			site.Route{Prefix: "/puxa403/", Kind: "unsafe", Service: "bench-desk", TimeoutMs: 4000, Attempts: 1})
		if err := s.WaitReady(); err != nil {
			return err
		}
		i := s.Instances[0]
		stop := make(chan struct{})
		var platform, clients sync.WaitGroup
		var killed atomic.Int64
		peak := 0
		platform.Go(func() { peak = enforceMemory(s, i, stop, &killed) })
		lost := make([]int, bookingClients)
		booked := make([]int, bookingClients)
		for n := range bookingClients {
			clients.Go(func() { booked[n], lost[n] = book(s, i, desk, n, stop) })
		}
		upload(s, i)
		close(stop)
		clients.Wait()
		platform.Wait()
		allBooked, allLost := 0, 0
		for n := range bookingClients {
			allBooked, allLost = allBooked+booked[n], allLost+lost[n]
		}
		s.Note("resident memory at its peak %d MB of %d, killed %d times for it; %d bookings answered, %d passed on to a runner and lost with their kept connection",
			peak>>10, site.PiedmontMemoryMb, killed.Load(), allBooked, allLost)
		switch {
		case killed.Load() > 0 && allLost > maxLost:
			return site.Violation{Text: fmt.Sprintf("LOST: the process exceeded its memory limit and ended, %d requests from kept connections were lost at sound runners", allLost)}
		case allBooked < bookingClients:
			return fmt.Errorf("only %d bookings were answered", allBooked)
		}
		return nil
	})
}

// enforceMemory does what the platform does to a process that exceeds MemoryMb: it
// kills it and starts it again. It returns the largest resident memory in kilobytes.
func enforceMemory(s *site.Site, i *site.Instance, stop <-chan struct{}, killed *atomic.Int64) (peak int) {
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(10 * time.Millisecond):
		}
		memory := i.Memory()
		peak = max(peak, memory)
		if memory <= site.PiedmontMemoryMb<<10 {
			continue
		}
		s.Note("platform: %s uses %d KB of %d MB and is killed", i.Name, memory, site.PiedmontMemoryMb)
		killed.Add(1)
		i.Signal(syscall.SIGKILL)
		<-i.Exited()
		time.Sleep(500 * time.Millisecond)
		if err := i.Start(); err != nil {
			s.Note("platform: %v", err)
			return peak
		}
	}
}

// book sends bookings one after the other on a kept connection. It returns how many
// were answered, and how many a runner had begun whose connection ended without an
// answer.
func book(s *site.Site, i *site.Instance, desk []*site.Runner, client int, stop <-chan struct{}) (answered, lost int) {
	// The clients are out of step with each other.
	time.Sleep(time.Duration(client) * bookingWork / bookingClients)
	var c *site.Client
	sentOnConnection := 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			return answered, lost
		default:
		}
		if c == nil {
			var err error
			if c, err = site.Connect(i); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			sentOnConnection = 0
		}
		id := fmt.Sprintf("b%02d-%05d", client, n)
		err := c.Send(site.Request("POST", "/puxa403/2f", id, bookingDeadline, "booking"))
		got := site.Got{Err: err}
		if err == nil {
			got = c.Receive("POST", bookingDeadline+time.Second)
		}
		sentOnConnection++
		if got.Err == nil {
			if got.Status == 200 {
				answered++
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.Close()
		c = nil
		ran := len(site.RunsOf(desk, id))
		s.Note("booking client %d: %s, request %d of its connection, got no answer (%v); a runner has begun it %d times", client, id, sentOnConnection, got.Err, ran)
		if ran > 0 && sentOnConnection > 1 {
			lost++
		}
	}
}

// upload sends the uploads, each on a new connection.
func upload(s *site.Site, i *site.Instance) {
	body := strings.Repeat("A", bodyBytes)
	begun := time.Now()
	var all sync.WaitGroup
	for n := 0; ; n++ {
		since := time.Since(begun)
		if since >= playTime {
			break
		}
		rate := uploadsPerSecond
		if s.Trouble && since >= faultBegins && since < faultBegins+faultTime {
			rate *= faultFactor
		}
		all.Go(func() {
			id := fmt.Sprintf("u%05d", n)
			s.Note("client sends %s: POST /lohu930/2f of %d bytes to %s", id, bodyBytes, i.Name)
			c, err := site.Connect(i)
			if err != nil {
				s.Note("client of %s: %v", id, err)
				return
			}
			defer c.Close()
			if err := c.SendPaced(site.Request("POST", "/lohu930/2f", id, uploadDeadline, body), bytesPerSecond); err != nil {
				s.Note("client of %s: %v", id, err)
				return
			}
			s.Note("client gets for %s: %s", id, c.Receive("POST", uploadDeadline))
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	all.Wait()
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// cutTime is how long one instance has no path to the store, killTime how long the
	// two others are down.
	cutTime  = 5500 * time.Millisecond
	killTime = time.Second
	// drainBound is DrainMs, contactTime ContactMs of the site.
	drainBound  = 2 * time.Second
	contactTime = 3 * time.Second
	// leaveAt and exitAt are when the runner's entry is removed and when the runner exits,
	// after the begin of the cut.
	leaveAt = 1500 * time.Millisecond
	exitAt  = 13500 * time.Millisecond
	// bookingClients send bookings to the instance, each with a pause between two, which
	// is drawn and has this mean.
	bookingClients = 16
	pause          = 60 * time.Millisecond
)

// leaveDuringCut removes the entry of a runner while one instance has no path to the store
// and the two others are down, from one of which it reads afterwards.
func leaveDuringCut(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	var runners []*runner
	for n := range 3 {
		r, err := newRunner(rec, fmt.Sprintf("i-app%d", n+1), appName, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.register(d.store)
		runners = append(runners, r)
	}
	key := "key-of-hule930"
	d.store.put("op/config", configuration(7, []tenant{newTenant("hule930", key)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.awaitTraffic(); err != nil {
		return false, err
	}
	begin := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	leaving, cut := runners[0], d.instances[0]
	acknowledged := begin.Add(leaveAt)
	// counted is from when on requests at the instance count: it is in touch again, and
	// DrainMs have passed.
	counted := begin.Add(cutTime + contactTime + 100*time.Millisecond)

	var work sync.WaitGroup
	work.Go(func() {
		at(leaveAt)
		leaving.leave(d.store)
		rec.say("acknowledged: the entry of %s is removed; it serves on", leaving.id)
		at(exitAt)
		leaving.exit()
		rec.say("%s exits, %v after the acknowledgement", leaving.id, exitAt-leaveAt)
	})
	if trouble {
		work.Go(func() {
			cut.storeLink.setCut(true)
			rec.say("%s has no path to the store", cut.name)
			at(cutTime)
			cut.storeLink.setCut(false)
			rec.say("%s has its path to the store again", cut.name)
		})
		for _, i := range d.instances[1:] {
			work.Go(func() {
				at(time.Second)
				rec.say("%s is killed", i.name)
				_ = i.command.Process.Kill()
				<-i.exited
				at(time.Second + killTime)
				if err := d.start(i); err != nil {
					rec.say("%s can't be started: %v", i.name, err)
				}
			})
		}
	}
	type booking struct {
		id   string
		sent time.Time
		result
	}
	var mu sync.Mutex
	var bookings []booking
	for client := range bookingClients {
		work.Go(func() {
			for n := 0; time.Since(begin) < exitAt+2*time.Second; n++ {
				b := booking{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+client*100_000+n), sent: time.Now()}
				b.result = send(cut.address(callerPort), http.MethodPost, unsafePrefix+"2f", b.id, key, 1500*time.Millisecond)
				mu.Lock()
				bookings = append(bookings, b)
				mu.Unlock()
				time.Sleep(rand.N(2 * pause))
			}
		})
	}
	work.Wait()
	late, lost, served := 0, 0, 0
	for _, b := range bookings {
		if b.status == http.StatusOK {
			served++
		}
		if b.sent.Before(counted) || b.sent.Before(acknowledged.Add(drainBound)) || len(leaving.ran(b.id)) == 0 {
			continue
		}
		late++
		if b.status != http.StatusOK {
			lost++
		}
		rec.log("booking %s, sent %d ms after the acknowledgement, was run by %s; the client got: %s", b.id, b.sent.Sub(acknowledged).Milliseconds(), leaving.id, b.brief())
	}
	rec.say("%d of %d bookings were served", served, len(bookings))
	rec.say("%d bookings that were sent later than %v after the acknowledgement, to an instance in touch, reached %s; %d of them were lost as it exited", late, drainBound, leaving.id, lost)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return late > 0, nil
}

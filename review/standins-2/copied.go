package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 5 * time.Second
	// rollGap is the time between two stops of machines: gap_s of roll_term in the site's
	// day trouble-2.
	rollGap = 2 * time.Second
	// rewriteAfter is the time after the store's return at which the operator writes
	// again what the copy lacks.
	rewriteAfter = 6 * time.Second
)

// withdrawBeforeCopy withdraws a key; then the store comes back from a copy in which the
// key is still valid, and the machines are stopped and started in turn.
func withdrawBeforeCopy(rec *record, trouble bool) (broken bool, err error) {
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
	withdrawn, kept := "key-withdrawn", "key-kept"
	d.store.put("op/config", configuration(7, []tenant{newTenant("hule930", withdrawn, kept)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.awaitTraffic(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	requests := 0
	ranTotal := map[string]int{}
	call := func(i *instance, key string) {
		mu.Lock()
		requests++
		id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+requests)
		mu.Unlock()
		rec.log("client sends %s with %s to %s", id, key, i.name)
		res := send(i.address(callerPort), http.MethodGet, safePrefix+"2f", id, key, 1500*time.Millisecond)
		rec.log("client gets for %s from %s: %s", id, i.name, res.brief())
		ran := 0
		for _, r := range runners {
			ran += len(r.ran(id))
		}
		mu.Lock()
		ranTotal[key] += min(ran, 1)
		mu.Unlock()
	}
	count := func(key string) int {
		mu.Lock()
		defer mu.Unlock()
		return ranTotal[key]
	}
	for _, i := range d.instances {
		call(i, withdrawn)
		call(i, kept)
	}
	if count(withdrawn) != 3 || count(kept) != 3 {
		return false, fmt.Errorf("before the withdrawal %d and %d of 3 requests were run", count(withdrawn), count(kept))
	}
	next := configuration(12, []tenant{newTenant("hule930", kept)})
	d.store.put("op/config", next)
	acknowledged := time.Now()
	rec.say("acknowledged: version 12 without %s", withdrawn)
	at := func(after time.Duration) { time.Sleep(time.Until(acknowledged.Add(after))) }
	const away, back = 2500 * time.Millisecond, 3 * time.Second
	if trouble {
		at(away)
		d.store.setDown(true)
		rec.say("the store is away")
		at(back)
		d.store.restore(copyAge)
		d.store.setDown(false)
		rec.say("the store is back from a copy that is %v old, with version 7", copyAge)
	}
	at(back)
	var work sync.WaitGroup
	work.Go(func() {
		at(back + rewriteAfter)
		d.store.put("op/config", next)
		rec.say("the operator has written version 12 again")
	})
	for n, i := range d.instances {
		work.Go(func() {
			at(back + 100*time.Millisecond + time.Duration(n)*rollGap)
			d.stop(i)
			if err := d.start(i); err != nil {
				rec.say("%s can't be started: %v", i.name, err)
			}
		})
	}
	at(revokeTime + 100*time.Millisecond)
	before := count(withdrawn)
	for time.Since(acknowledged) < back+rewriteAfter+6*time.Second {
		var calls sync.WaitGroup
		for _, i := range d.instances {
			calls.Go(func() {
				call(i, withdrawn)
				call(i, kept)
			})
		}
		calls.Wait()
		time.Sleep(50 * time.Millisecond)
	}
	work.Wait()
	ran := count(withdrawn) - before
	rec.say("%d requests with %s that were sent later than %v after the acknowledgement were run", ran, withdrawn, revokeTime)
	rec.say("%d requests with %s were run", count(kept), kept)
	if count(kept) < 10 {
		return false, fmt.Errorf("the key that stays was hardly served")
	}
	return ran > 0, nil
}

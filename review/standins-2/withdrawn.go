package main

import (
	"fmt"
	"net/http"
	"time"
)

// revokeTime is RevokeMs of the site.
const revokeTime = 5 * time.Second

// withdrawLastTenant takes the tenants of a small deployment away, one after the other,
// and sends requests with the keys afterwards.
func withdrawLastTenant(rec *record, trouble bool) (broken bool, err error) {
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
	first, last := newTenant("hule930", "key-of-hule930"), newTenant("wuka97", "key-of-wuka97")
	d.store.put("op/config", configuration(7, []tenant{first, last}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.awaitTraffic(); err != nil {
		return false, err
	}
	requests := 0
	// call sends a booking with a key to each instance and returns how many were run.
	call := func(key string) (ran int) {
		for _, i := range d.instances {
			requests++
			id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+requests)
			rec.log("client sends booking %s with key %q to %s", id, key, i.name)
			res := send(i.address(callerPort), http.MethodPost, unsafePrefix+"2f", id, key, 1500*time.Millisecond)
			rec.log("client gets for %s: %s", id, res.brief())
			for _, r := range runners {
				ran += len(r.ran(id))
			}
		}
		return ran
	}
	expect := func(what, key string, want int) error {
		ran := call(key)
		rec.say("%s: %d of %d bookings with key %q were run", what, ran, len(d.instances), key)
		if ran != want {
			return fmt.Errorf("%s: %d bookings were run, not %d", what, ran, want)
		}
		return nil
	}
	if err := expect("two tenants", first.ApiKeys[0], 3); err != nil {
		return false, err
	}
	if err := expect("two tenants", last.ApiKeys[0], 3); err != nil {
		return false, err
	}
	if err := expect("two tenants", "key-that-never-was", 0); err != nil {
		return false, err
	}
	tenants := []tenant{last}
	if !trouble {
		tenants = []tenant{first, last}
	}
	d.store.put("op/config", configuration(12, tenants))
	rec.say("acknowledged: version 12 with %d tenants", len(tenants))
	time.Sleep(revokeTime + time.Second)
	if trouble {
		if err := expect("first tenant taken away", first.ApiKeys[0], 0); err != nil {
			return false, err
		}
		tenants = []tenant{}
	}
	d.store.put("op/config", configuration(19, tenants))
	rec.say("acknowledged: version 19 with %d tenants", len(tenants))
	time.Sleep(revokeTime + time.Second)
	ran := call(last.ApiKeys[0])
	rec.say("version 19, %v after its acknowledgement: %d bookings with key %q were run", revokeTime+time.Second, ran, last.ApiKeys[0])
	never := call("key-that-never-was")
	rec.say("version 19: %d bookings with a key that no configuration ever held were run", never)
	if !trouble {
		// Nothing was taken away, so the key is served; the other one never is.
		if ran != len(d.instances) {
			return false, fmt.Errorf("the key is in force, but %d bookings were run", ran)
		}
		return never > 0, nil
	}
	return ran+never > 0, nil
}

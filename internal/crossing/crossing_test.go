package crossing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// atRisk returns the facts of a request that its own zone would refuse, while another
// zone has room.
func atRisk() Facts {
	return Facts{
		Here: Estimate{Wait: 400 * ms, Answer: 50 * ms}, There: Estimate{Answer: 50 * ms}, Load: 2, Slots: 10,
		QueueLeft: 300 * ms, ToTarget: 600 * ms, ToDeadline: 5 * time.Second,
	}
}

// Guards against requests that leave although the own zone serves them in time, that
// take the room of the other zone's callers, and that leave for nothing.
func TestRequestLeavesOnlyIfItPays(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Facts)
		leave  bool
		reason Reason
	}{
		{"refused here", func(*Facts) {}, true, RefusedHere},
		{"late here", func(f *Facts) { f.QueueLeft, f.ToTarget = time.Second, 200*ms }, true, LateHere},
		{"no endpoint here", func(f *Facts) { f.Here, f.Nowhere = Estimate{}, true }, true, NoneHere},
		{"in time here", func(f *Facts) { f.Here.Wait = 100 * ms }, false, InTimeHere},
		{"full there", func(f *Facts) { f.Load = 9 }, false, NoRoomThere},
		{"new figures of a half full endpoint", func(f *Facts) { f.Load = 4 }, true, RefusedHere},
		{"figures three seconds old", func(f *Facts) { f.Load, f.There.Age = 4, 3*time.Second }, false, NoRoomThere},
		{"very old figures", func(f *Facts) { f.Load, f.There.Age = 4, time.Minute }, false, NoRoomThere},
		{"very old figures of an empty endpoint", func(f *Facts) { f.Load, f.There.Age = 0, time.Minute }, true, RefusedHere},
		{"the other zone sends here", func(f *Facts) { f.Inbound = 0.2 }, false, Inbound},
		{"as late there", func(f *Facts) { f.QueueLeft, f.ToTarget, f.There.Wait = time.Second, 200*ms, 400*ms }, false, SmallGain},
		{"after the deadline there", func(f *Facts) { f.ToDeadline = 40 * ms }, false, LateThere},
		{"large prompt, small gain", func(f *Facts) {
			f.QueueLeft, f.ToTarget, f.There.Wait, f.PromptTokens = time.Second, 200*ms, 380*ms, 40_000
		}, false, SmallGain},
		{"prompt part processed again", func(f *Facts) {
			f.QueueLeft, f.ToTarget, f.There.Wait, f.RepeatedTokens = time.Second, 200*ms, 340*ms, 8000
		}, false, SmallGain},
	} {
		f := atRisk()
		c.change(&f)
		d := Decide(f, DefaultCost)
		must.Eq(t, c.leave, d.Leave, must.Sprint(c.name))
		must.Eq(t, c.reason, d.Reason, must.Sprint(c.name))
	}
}

// Load pattern: 300 instances see the same 60 free slots of a zone, which serves what it
// has slots for, for ten seconds, and all have more to send than that. Guards against a
// flood: once the windows have adapted, few crossings find no room, and the room is used.
func TestManyInstancesShareTheRoomOfAZone(t *testing.T) {
	const instances, slots, service = 300, 60, 50 * ms
	limiters := make([]Limiter, instances)
	type run struct {
		limiter   int
		sent, end time.Duration
	}
	var running, rejected []run
	served, lost := 0, 0
	for now := time.Hour; now < time.Hour+10*time.Second; now += 5 * ms {
		settled := now > time.Hour+3*time.Second
		var still []run
		for _, r := range running {
			if r.end <= now {
				limiters[r.limiter].Ended(now, r.sent, Served)
			} else {
				still = append(still, r)
			}
		}
		running = still
		for _, r := range rejected {
			limiters[r.limiter].Ended(now, r.sent, Rejected)
		}
		rejected = nil
		for k := range limiters {
			n := (k + int(now/(5*ms))*7) % instances
			if !limiters[n].Allows(now) {
				continue
			}
			limiters[n].Sent(now)
			if len(running) < slots {
				running = append(running, run{n, now, now + service})
				if settled {
					served++
				}
			} else {
				rejected = append(rejected, run{n, now, now})
				if settled {
					lost++
				}
			}
		}
	}
	capacity := float64(slots) / service.Seconds() * 7
	t.Logf("used %.2f of the room, %.2f of the crossings found none", float64(served)/capacity, float64(lost)/float64(served+lost))
	must.Greater(t, 0.5*capacity, float64(served))
	must.Less(t, 0.45, float64(lost)/float64(served+lost))
}

// Guards against a window that stays reduced for good, or one that a single loss reduces
// several times.
func TestWindowAdapts(t *testing.T) {
	var l Limiter
	for range 2 {
		must.True(t, l.Allows(0))
		l.Sent(0)
	}
	must.False(t, l.Allows(0))
	for range 2 {
		l.Ended(ms, 0, Rejected)
	}
	must.Eq(t, 1.0, l.Window())
	l.Sent(2 * ms)
	l.Ended(3*ms, 2*ms, Began(300*ms, 50*ms))
	must.Eq(t, 0.5, l.Window())
	must.False(t, l.Allows(100*ms))
	must.True(t, l.Allows(210*ms))
	l.Sent(210 * ms)
	l.Ended(260*ms, 210*ms, Began(50*ms, 50*ms))
	must.Eq(t, 1.0, l.Window())
	must.True(t, l.Allows(20*time.Second))
	must.Eq(t, firstWindow, l.Window())
}

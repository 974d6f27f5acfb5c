package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crossing"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/shoenig/test/must"
)

// simZones is the part of a simulation in which the zones' loads differ. A nil simZones
// is a simulation without it.
type simZones struct {
	arrived map[simRequest]Instant
	// stale is the time between two exchanges of reports between zones, or zero.
	stale                                         time.Duration
	all, inTime, late, refusals, left, dispatches int
}

func (z *simZones) lost(f *simulation, from, to *simInstance) bool {
	return z != nil && z.stale > 0 && from.zone != to.zone && time.Duration(f.now)%z.stale > 150*time.Millisecond
}

func (z *simZones) dispatched(job simJob, zone string) {
	if z == nil {
		return
	}
	z.dispatches++
	if zone != job.at.zone {
		z.left++
	}
}

func (z *simZones) refused() {
	if z != nil {
		z.refusals++
	}
}

func (z *simZones) answered(f *simulation, job simJob) {
	if z == nil {
		return
	}
	if f.now.Sub(z.arrived[simRequest{job.at, job.id}]) <= route("r", 0).Target {
		z.inTime++
	} else {
		z.late++
	}
}

// share returns the share of the requests.
func (z *simZones) share(n int) float64 { return float64(n) / float64(max(z.all, 1)) }

// policies are those compared: the two settings, and two that no setting selects.
var policies = map[string]func(*State){
	"fixed":    func(*State) {},
	"adaptive": func(s *State) { s.cfg.AdaptiveCrossing, s.cfg.CrossingCost = true, crossing.DefaultCost },
	"never":    func(s *State) { s.cfg.AdaptiveCrossing, s.cfg.CrossingCost = true, time.Hour },
	"shortest": func(s *State) { s.zoneCost = 0 },
}

// zoneCase is a load as a fraction of the capacity of a zone, by zone and time.
type zoneCase struct {
	name  string
	load  func(zone int, t time.Duration) float64
	stale time.Duration
	// lose is the fraction of the engines of zone 0 that are lost before.
	lose float64
	// least is the share that must be served in time with adaptive crossing, most the
	// largest share that may leave.
	least, most float64
}

func steady(loads ...float64) func(int, time.Duration) float64 {
	return func(zone int, _ time.Duration) float64 { return loads[min(zone, len(loads)-1)] }
}

// waves returns a load whose swing of 0.55 in 17 s is out of phase between zones.
func waves(mean float64, zones int) func(int, time.Duration) float64 {
	return func(zone int, t time.Duration) float64 {
		return mean * (1 + 0.55*math.Sin(2*math.Pi*(t.Seconds()/17+float64(zone)/float64(zones))))
	}
}

// runZones sends each zone's load to its instances and returns what became of it.
func runZones(policy func(*State), c zoneCase, instances, zones, engines, slots int, d time.Duration) *simZones {
	f := newSimulation(instances, zones, engines, slots)
	z := &simZones{arrived: map[simRequest]Instant{}}
	for _, i := range f.instances {
		policy(i.s)
	}
	f.advance(3 * time.Second)
	f.zones = z
	z.stale = c.stale
	var removed []directory.Change
	for n := 0; n < int(c.lose*float64(engines)); n += zones {
		removed = append(removed, directory.Change{EndpointID: fmt.Sprintf("e%d", n), Revision: 2})
	}
	for _, i := range f.instances {
		f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Batch: directory.Batch{Changes: removed, Revision: 2}}})
	}
	start := f.now
	for zone := range zones {
		capacity := float64(engines/zones*slots) / simServiceTime.Seconds()
		var arrive func()
		arrive = func() {
			t := f.now.Sub(start)
			if t >= d {
				return
			}
			n := zone + zones*f.rand.IntN(instances/zones)
			f.nextID++
			z.all++
			key := simRequest{f.instances[n], f.nextID}
			z.arrived[key] = f.now
			f.step(f.instances[n], Arrived{Request: Request{
				ID: f.nextID, Name: "r", Version: 1, Route: route("r", 0), Service: service, PromptTokens: 2000, Tokens: 2100,
				CallerDeadline: f.now.Add(5 * time.Second), Deadline: f.now.Add(5 * time.Second),
			}})
			f.after(time.Duration(f.rand.ExpFloat64()/(capacity*c.load(zone, t))*float64(time.Second)), arrive)
		}
		arrive()
	}
	f.advance(d + time.Second)
	return z
}

// Guards against callers of a full zone that are refused while another has room, against
// requests that leave although their zone serves them in time, and against floods: the
// loads of the zones differ, engines are lost, or figures are old. Adaptive crossing must
// serve as much as the constant cost to within two percent while less leaves, also with
// old figures.
func TestZonesHelpEachOther(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones, engines, slots int }{{6, 3, 18, 10}, {84, 4, 88, 6}} {
		for _, c := range []zoneCase{
			{name: "waves out of phase", load: waves(0.7, size.zones), least: 0.95, most: 0.2},
			{name: "44 percent more demand in one zone", load: steady(0.8*1.44, 0.8), least: 0.93, most: 0.15},
			{name: "a third of a zone's endpoints lost", load: steady(0.8), lose: 1.0 / 3, least: 0.95, most: 0.15},
			{name: "a zone's endpoints lost", load: steady(0.5), lose: 1, least: 0.95, most: 0.4},
			{name: "all zones full", load: steady(1.5), most: 0.02},
			{name: "each zone sees the others empty", load: steady(1.1, 1.1, 0.2), stale: 3 * time.Second, most: 0.2},
			{name: "waves with figures three seconds old", load: waves(0.7, size.zones), stale: 3 * time.Second, least: 0.85, most: 0.2},
		} {
			if size.instances > 6 && !*flagLarge && c.lose == 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d_%s", size.instances, c.name), func(t *testing.T) {
				t.Parallel()
				d := 4 * time.Second
				if c.name[:5] == "waves" {
					d = 17 * time.Second
				}
				names := []string{"fixed", "adaptive", "never", "shortest"}
				results := make([]*simZones, len(names))
				var runs []func()
				for n, name := range names {
					runs = append(runs, func() {
						results[n] = runZones(policies[name], c, size.instances, size.zones, size.engines, size.slots, d)
					})
				}
				concurrently(runs...)
				got := map[string]*simZones{}
				for n, name := range names {
					z := results[n]
					got[name] = z
					t.Logf("%-8s: in time %.3f, late %.3f, refused %.3f, left %.3f of %d", name, z.share(z.inTime), z.share(z.late), z.share(z.refusals), z.share(z.left), z.all)
				}
				z := got["adaptive"]
				must.GreaterEq(t, c.least, z.share(z.inTime))
				must.GreaterEq(t, got["fixed"].share(got["fixed"].inTime)-0.02, z.share(z.inTime))
				must.LessEq(t, c.most, z.share(z.left))
				must.LessEq(t, got["shortest"].left, z.left)
			})
		}
	}
}

package reducer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against allowance that accrues for the past at a rate that is in force
// only from now on: of ten seconds with two listed instances, half of the zone's
// 1,000 micros a second are this instance's.
func TestAllowanceAccruesAtRateThatWasInForce(t *testing.T) {
	two := []Instance{{Name: "i0", AvailabilityZone: "a"}, {Name: "i1", AvailabilityZone: "a"}}
	const accrued = 5000
	changes := map[string]Event{
		"an instance less": InstancesListed{Instances: two[:1]},
		"another file":     FileOffered{File: parseZoneFile(2, 3)},
	}
	changes["another file"].(FileOffered).File.Organisation("small").SpendMicrosPerMonth *= 2
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			s := New(Config{Incarnation: 1, Instance: "i0", AvailabilityZone: "a"}, 1)
			s.Step(1, FileOffered{File: parseZoneFile(1, 3)})
			s.Step(1, InstancesListed{Instances: two})
			s.bucket("small")
			end := Instant(1).Add(10 * time.Second)
			s.Step(end, change)
			must.InDelta(t, accrued, s.buckets["small"].micros, 1)
		})
	}
}

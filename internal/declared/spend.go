package declared

import "math"

// zoneWeights are the weights by which spend is divided among availability
// zones: the highest monthly cost of the endpoints of each zone, without cached
// tokens.
type zoneWeights struct {
	weights map[string]int64
	total   int64
}

// newZoneWeights returns the weights of the zones of f. Endpoints that are
// leaving receive no new requests and are not counted. If no endpoint has a
// cost, the weights are numbers of slots.
func newZoneWeights(f *File, x *index) zoneWeights {
	cost := func(e *Endpoint) int64 {
		if c := x.classes[e.Class]; c != nil {
			return c.maxMonthlyMicros(false)
		}
		return 0
	}
	s := sumWeights(f, cost)
	// A saturated total would be less than the sum of the zones' weights, and the
	// shares of all zones would exceed the whole amount. Weights are therefore
	// scaled down until the total fits.
	for shift := weightShift; s.total == math.MaxInt64; shift += weightShift {
		s = sumWeights(f, func(e *Endpoint) int64 { return cost(e) >> shift })
	}
	if s.total == 0 {
		s = sumWeights(f, func(e *Endpoint) int64 { return int64(e.Slots) })
	}
	return s
}

// weightShift is the number of bits by which weights are scaled down in each
// step.
const weightShift = 8

func sumWeights(f *File, weight func(*Endpoint) int64) zoneWeights {
	s := zoneWeights{weights: make(map[string]int64)}
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		if e.Leaving {
			continue
		}
		w := weight(e)
		s.weights[e.AvailabilityZone] = saturatingSum(s.weights[e.AvailabilityZone], w)
		s.total = saturatingSum(s.total, w)
	}
	return s
}

// share returns the zone's share of amount, rounded down, so that the shares of
// all zones never exceed amount.
func (s zoneWeights) share(amount int64, zone string) int64 {
	if s.total == 0 {
		return 0
	}
	var w uint128
	w.addProduct(amount, s.weights[zone])
	return w.divide(uint64(s.total))
}

// Unbounded reports whether the file sets no limit to the spend of o.
func (o *Organisation) Unbounded() bool { return o.SpendMicrosPerMonth == 0 }

// SpendInZone returns the amount, in millionths of the currency, that an
// organisation may spend in an availability zone in a month. The sum over all
// zones never exceeds the organisation's declared spend. It is math.MaxInt64
// for an organisation whose spend is unbounded, and 0 for one that f does not
// name.
func (f *File) SpendInZone(org, zone string) int64 {
	x := f.indexed()
	o := x.organisations[org]
	switch {
	case o == nil:
		return 0
	case o.Unbounded():
		return math.MaxInt64
	}
	return x.zoneWeights.share(o.SpendMicrosPerMonth, zone)
}

// SpendRate returns SpendInZone distributed evenly over the month, in
// millionths of the currency per second, never rounded up. It is +Inf for an
// organisation whose spend is unbounded.
func (f *File) SpendRate(org, zone string) (microsPerSecond float64) {
	month := f.SpendInZone(org, zone)
	switch month {
	case 0:
		return 0
	case math.MaxInt64:
		return math.Inf(1)
	}
	// Both the conversion and the division may have rounded up.
	rate := float64(month) / float64(monthSeconds)
	return math.Nextafter(math.Nextafter(rate, 0), 0)
}

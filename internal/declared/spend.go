package declared

import "math"

// spread is how spend is divided among availability zones: in proportion to
// what the endpoints of each can cost in a month.
type spread struct {
	weights map[string]int64
	total   int64
}

// newSpread weighs the zones of f. Endpoints that are leaving take no new
// work and count for nothing. Where no endpoint costs anything, slots are the
// weight.
func newSpread(f *File, x *index) spread {
	cost := func(e *Endpoint) int64 {
		if c := x.classes[e.Class]; c != nil {
			return c.monthMicros(false)
		}
		return 0
	}
	s := weigh(f, cost)
	// A saturated total would be less than the sum of the zones' weights, and
	// the parts of all zones would exceed the whole.
	for shift := weightShift; s.total == math.MaxInt64; shift += weightShift {
		s = weigh(f, func(e *Endpoint) int64 { return cost(e) >> shift })
	}
	if s.total == 0 {
		s = weigh(f, func(e *Endpoint) int64 { return int64(e.Slots) })
	}
	return s
}

// weightShift is by how many bits weights are made smaller at a time.
const weightShift = 8

func weigh(f *File, weight func(*Endpoint) int64) spread {
	s := spread{weights: make(map[string]int64)}
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

// part returns the zone's part of amount, rounded down, so that the parts of
// all zones never exceed it.
func (s spread) part(amount int64, zone string) int64 {
	if s.total == 0 {
		return 0
	}
	var w wide
	w.addProduct(amount, s.weights[zone])
	return w.divide(uint64(s.total))
}

// Unbounded reports whether the file sets no limit to the spend of o.
func (o *Organisation) Unbounded() bool { return o.SpendMicrosPerMonth == 0 }

// SpendInZone returns the millionths of the currency that an organisation may
// spend in an availability zone in a month. The sum over all zones is never
// more than the organisation's declared spend. It is math.MaxInt64 for an
// organisation whose spend is unbounded, and 0 for one that f does not name.
func (f *File) SpendInZone(org, zone string) int64 {
	x := f.indexed()
	o := x.organisations[org]
	switch {
	case o == nil:
		return 0
	case o.Unbounded():
		return math.MaxInt64
	}
	return x.spread.part(o.SpendMicrosPerMonth, zone)
}

// SpendRate returns SpendInZone spread evenly over the month, in millionths of
// the currency per second, never rounded up. It is +Inf for an organisation
// whose spend is unbounded.
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

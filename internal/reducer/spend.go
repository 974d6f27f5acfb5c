package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Spend constants.
const (
	// maxAccrualPeriod bounds the unused allowance of a bucket to the declared
	// spend of this period.
	maxAccrualPeriod = time.Hour
	// borrowInterval is the minimum time between two Borrow messages for one
	// organisation.
	borrowInterval = 200 * time.Millisecond
)

// bucket is this instance's spend allowance for one organisation, in micros. It
// is empty when the process starts, so that a restart never grants the same
// allowance twice.
type bucket struct {
	micros       float64
	updatedAt    Instant
	lastBorrowAt Instant
	lenderIndex  int
}

// accrueAll accrues the allowance of every bucket up to now. It runs before the
// declared file or the list of instances changes, since both set the rate.
func (s *State) accrueAll() {
	for name := range s.buckets {
		s.bucket(name)
	}
}

// rate returns this instance's share of the spend rate of an organisation in the
// zone: an equal share for each listed instance. The shares of all listed
// instances never exceed the zone's rate, however the zone is partitioned. It
// reports false if the organisation's spend is not bounded.
func (s *State) rate(organisation string) (microsPerSecond float64, bounded bool) {
	o := s.file.Organisation(organisation)
	if o == nil || o.SpendMicrosPerMonth == 0 {
		return 0, false
	}
	return s.file.SpendRate(organisation, s.cfg.AvailabilityZone) / float64(s.listedInstanceCount()), true
}

// bucket returns the organisation's bucket with the allowance accrued up to now.
func (s *State) bucket(organisation string) *bucket {
	b := s.buckets[organisation]
	rate, bounded := s.rate(organisation)
	if b == nil {
		b = &bucket{updatedAt: s.now}
		if s.cfg.Guards.FullBuckets {
			b.micros = rate * maxAccrualPeriod.Seconds()
		}
		s.buckets[organisation] = b
	}
	if bounded {
		limit := max(rate*maxAccrualPeriod.Seconds(), b.micros)
		b.micros = min(limit, b.micros+rate*s.now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = s.now
	return b
}

// maxPrice returns the highest price of a run at any endpoint of its pool.
func (s *State) maxPrice(req *Request) int64 {
	price := int64(0)
	p := s.pools[req.Pool]
	if p == nil {
		return 0
	}
	for _, e := range s.endpointOrder {
		for _, m := range e.models {
			if m == p.name && e.class != nil {
				price = max(price, e.class.Price(req.PromptTokens, 0, req.OutputTokens))
			}
		}
	}
	return price
}

// reserve deducts the highest price of a request from the allowance. If the
// allowance is too small, it reports false and how long accrual alone would take.
func (s *State) reserve(r *request) (ok bool, wait time.Duration) {
	rate, bounded := s.rate(r.req.Organisation)
	if !bounded {
		return true, 0
	}
	r.reservedMicros = s.maxPrice(&r.req)
	b := s.bucket(r.req.Organisation)
	if shortfall := float64(r.reservedMicros) - b.micros; shortfall > 0 {
		r.reservedMicros = 0
		if rate <= 0 {
			return false, declared.Month
		}
		return false, time.Duration(shortfall / rate * float64(time.Second))
	}
	b.micros -= float64(r.reservedMicros)
	return true, 0
}

// settle replaces a reservation by the actual price of the run.
func (s *State) settle(r *request, price int64) {
	if _, bounded := s.rate(r.req.Organisation); !bounded {
		return
	}
	b := s.bucket(r.req.Organisation)
	b.micros += float64(r.reservedMicros - price)
	r.reservedMicros = 0
}

// borrow requests allowance from the usable peers in turn, one per call.
func (s *State) borrow(r *request) {
	b := s.bucket(r.req.Organisation)
	if s.now.Sub(b.lastBorrowAt) < borrowInterval {
		return
	}
	var usable []*peer
	for _, p := range s.peerOrder {
		if p.usable() {
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		return
	}
	b.lastBorrowAt = s.now
	b.lenderIndex++
	to := usable[b.lenderIndex%len(usable)]
	shortfall := float64(s.maxPrice(&r.req)) - b.micros
	s.send(to.id, &peerpb.Frame{Body: &peerpb.Frame_Borrow{Borrow: &peerpb.Borrow{
		Organisation: r.req.Organisation, Micros: int64(shortfall) + 1,
	}}})
}

// borrowReceived lends at most half of the allowance. It deducts the loan before
// it sends the message, so a lost message loses allowance and never duplicates
// it.
func (s *State) borrowReceived(from Incarnation, m *peerpb.Borrow) {
	if s.file == nil || m.GetMicros() <= 0 {
		return
	}
	if _, bounded := s.rate(m.GetOrganisation()); !bounded {
		return
	}
	b := s.bucket(m.GetOrganisation())
	lent := min(m.GetMicros(), int64(b.micros/2))
	if lent <= 0 {
		return
	}
	b.micros -= float64(lent)
	s.send(from, &peerpb.Frame{Body: &peerpb.Frame_Lend{Lend: &peerpb.Lend{Organisation: m.GetOrganisation(), Micros: lent}}})
}

func (s *State) lendReceived(m *peerpb.Lend) {
	if s.file == nil || m.GetMicros() <= 0 {
		return
	}
	if _, bounded := s.rate(m.GetOrganisation()); !bounded {
		return
	}
	s.bucket(m.GetOrganisation()).micros += float64(m.GetMicros())
	s.retryReservations(m.GetOrganisation())
}

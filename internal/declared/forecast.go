package declared

import (
	"encoding/json"
	"fmt"
	"math"
)

// Amount is money in millionths of a currency.
type Amount int64

// Unbounded is an amount that nothing in the file bounds.
const Unbounded Amount = math.MaxInt64

const microsPerUnit = 1_000_000

// String returns the amount in whole currency units with two decimals, rounded
// up, or "unbounded".
func (a Amount) String() string {
	if a == Unbounded {
		return "unbounded"
	}
	const microsPerCent = microsPerUnit / 100
	cents := int64(a) / microsPerCent
	if int64(a)%microsPerCent > 0 {
		cents++
	}
	return fmt.Sprintf("%d.%02d", cents/100, cents%100)
}

// MarshalJSON writes the amount in millionths, and null where it is
// unbounded.
func (a Amount) MarshalJSON() ([]byte, error) {
	if a == Unbounded {
		return []byte("null"), nil
	}
	return json.Marshal(int64(a))
}

// UnmarshalJSON reads what MarshalJSON writes.
func (a *Amount) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		*a = Unbounded
		return nil
	}
	return json.Unmarshal(data, (*int64)(a))
}

// Limit names what holds a bill at its highest.
type Limit string

// The limits of a bill.
const (
	// LimitSpend is the declared spend of organisations.
	LimitSpend Limit = "spend"
	// LimitCapacity is what the endpoints can do.
	LimitCapacity Limit = "capacity"
	// LimitNone means that the bill is unbounded.
	LimitNone Limit = "none"
)

// Bill is the range of one month's bill.
type Bill struct {
	Name    string `json:"name"`
	Lowest  Amount `json:"lowest_micros"`
	Highest Amount `json:"highest_micros"`
	Limit   Limit  `json:"limit"`
}

// Forecast is the bill of a 30-day month for which one file is in force. The
// bills of one list may overlap, so that their highest amounts can come to
// more than the total.
type Forecast struct {
	Currency      string `json:"currency"`
	Revision      uint64 `json:"revision"`
	Total         Bill   `json:"total"`
	Organisations []Bill `json:"organisations"`
	Tiers         []Bill `json:"tiers"`
	Classes       []Bill `json:"classes"`
}

// NewForecast returns the forecast of f. The lowest bill is always zero: the
// file prices work alone. The highest is the lesser of what the organisations
// may spend and of what the endpoints can do. Both are taken over all zones
// together, so that the forecast holds also where work of one availability
// zone runs in another.
func NewForecast(f *File) Forecast {
	fc := Forecast{Currency: f.Currency, Revision: f.Revision}
	capacity, byClass := capacities(f)
	all := int64(0)
	byTier := make(map[string]int64, len(f.Tiers))
	for i := range f.Organisations {
		o := &f.Organisations[i]
		spend := o.monthSpend()
		all = saturatingSum(all, spend)
		for name := range o.Tiers {
			byTier[name] = saturatingSum(byTier[name], spend)
		}
		fc.Organisations = append(fc.Organisations, newBill(o.Name, spend, capacity))
	}
	for i := range f.Tiers {
		name := f.Tiers[i].Name
		fc.Tiers = append(fc.Tiers, newBill(name, byTier[name], capacity))
	}
	for i := range f.Classes {
		name := f.Classes[i].Name
		fc.Classes = append(fc.Classes, newBill(name, all, byClass[name]))
	}
	fc.Total = newBill("total", all, capacity)
	return fc
}

// capacities returns the most that all endpoints, and those of each class, can
// cost in a month. Endpoints that are leaving take no new work.
func capacities(f *File) (total int64, byClass map[string]int64) {
	byClass = make(map[string]int64, len(f.Classes))
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		c := f.Class(e.Class)
		if e.Leaving || c == nil {
			continue
		}
		month := c.monthMicros(true)
		total = saturatingSum(total, month)
		byClass[e.Class] = saturatingSum(byClass[e.Class], month)
	}
	return total, byClass
}

// monthSpend returns the declared spend of o, math.MaxInt64 where there is
// none.
func (o *Organisation) monthSpend() int64 {
	if o.Unbounded() {
		return math.MaxInt64
	}
	return o.SpendMicrosPerMonth
}

// newBill takes the lesser of spend and capacity.
func newBill(name string, spend, capacity int64) Bill {
	b := Bill{Name: name, Highest: Amount(min(spend, capacity))}
	switch {
	case b.Highest == Unbounded:
		b.Limit = LimitNone
	case spend < capacity:
		b.Limit = LimitSpend
	default:
		b.Limit = LimitCapacity
	}
	return b
}

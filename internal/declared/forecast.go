package declared

import (
	"encoding/json"
	"fmt"
	"math"
)

// Amount is money in millionths of a currency.
type Amount int64

// Unbounded is an amount that the file does not limit.
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

// MarshalJSON writes the amount in millionths, or null if it is unbounded.
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

// Limit identifies what limits the highest amount of a bill.
type Limit string

// The limits of a bill.
const (
	// LimitSpend is the declared spend of organisations.
	LimitSpend Limit = "spend"
	// LimitCapacity is the capacity of the endpoints.
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

// Forecast is the bill of a 30-day month during which one file is in force. The
// bills of one list may overlap, so their highest amounts can add up to more
// than the total.
type Forecast struct {
	Currency      string `json:"currency"`
	Revision      uint64 `json:"revision"`
	Total         Bill   `json:"total"`
	Organisations []Bill `json:"organisations"`
	Tiers         []Bill `json:"tiers"`
	Classes       []Bill `json:"classes"`
}

// NewForecast returns the forecast of f. The lowest bill is always zero, since
// the file prices only the work that is done. The highest is the lesser of the
// organisations' spend and the cost of the endpoints at full capacity. Both are
// taken over all availability zones together, so that the forecast also holds
// where requests of one zone run in another.
func NewForecast(f *File) Forecast {
	fc := Forecast{Currency: f.Currency, Revision: f.Revision}
	capacity, byClass := capacities(f)
	totalSpend := int64(0)
	byTier := make(map[string]int64, len(f.Tiers))
	for i := range f.Organisations {
		o := &f.Organisations[i]
		spend := o.monthlySpend()
		totalSpend = saturatingSum(totalSpend, spend)
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
		fc.Classes = append(fc.Classes, newBill(name, totalSpend, byClass[name]))
	}
	fc.Total = newBill("total", totalSpend, capacity)
	return fc
}

// capacities returns the highest monthly cost of all endpoints, and of those of
// each class. Endpoints that are leaving receive no new requests and are not
// counted.
func capacities(f *File) (total int64, byClass map[string]int64) {
	byClass = make(map[string]int64, len(f.Classes))
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		c := f.Class(e.Class)
		if e.Leaving || c == nil {
			continue
		}
		monthly := c.maxMonthlyMicros(true)
		total = saturatingSum(total, monthly)
		byClass[e.Class] = saturatingSum(byClass[e.Class], monthly)
	}
	return total, byClass
}

// monthlySpend returns the declared spend of o, or math.MaxInt64 if it is
// unbounded.
func (o *Organisation) monthlySpend() int64 {
	if o.Unbounded() {
		return math.MaxInt64
	}
	return o.SpendMicrosPerMonth
}

// newBill returns a bill whose highest amount is the lesser of spend and
// capacity.
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

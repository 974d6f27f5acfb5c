package load

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/declared"
)

// sender is one organisation in one tier.
type sender struct {
	organisation string
	key          string
	tier         string
	deadline     time.Duration
	weight       float64
}

// Mix is the distribution of requests over organisations and tiers, taken from
// a declared file. A tier has the weight of its share, and an organisation
// within a tier the weight of its percentage.
type Mix struct {
	senders     []sender
	totalWeight float64
	models      []string
	// tiers has the names of the tiers in order of rank.
	tiers []string
}

// KeyFunc returns the bearer key of an organisation. A declared file contains
// only its digest.
type KeyFunc func(organisation string) string

// NewMix returns the mix of a declared file. An empty list of models means all
// pools of engines. It returns an error if the file has no engine with a model
// or no organisation that may use a tier.
func NewMix(f *declared.File, models []string, key KeyFunc) (*Mix, error) {
	m := &Mix{models: models}
	if len(models) == 0 {
		m.models = enginePools(f)
	}
	if len(m.models) == 0 {
		return nil, errors.New("the file declares no engine with a model")
	}
	m.tiers = make([]string, len(f.Tiers))
	for _, t := range f.Tiers {
		m.tiers[t.Rank-1] = t.Name
		m.addTier(f, &t, key)
	}
	if m.totalWeight == 0 {
		return nil, errors.New("the file allows no organisation to use a tier")
	}
	return m, nil
}

func (m *Mix) addTier(f *declared.File, t *declared.Tier, key KeyFunc) {
	percent := 0
	for _, o := range f.Organisations {
		percent += o.Tiers[t.Name]
	}
	for _, o := range f.Organisations {
		if o.Tiers[t.Name] == 0 {
			continue
		}
		weight := float64(t.SharePercent) * float64(o.Tiers[t.Name]) / float64(percent)
		m.totalWeight += weight
		m.senders = append(m.senders, sender{
			organisation: o.Name, key: key(o.Name), tier: t.Name, weight: weight,
			deadline: time.Duration(t.DeadlineMS) * time.Millisecond,
		})
	}
}

// enginePools returns the pools of the engines in file order.
func enginePools(f *declared.File) []string {
	var pools []string
	seen := make(map[string]bool)
	for _, e := range f.Endpoints {
		class := f.Class(e.Class)
		if class == nil || class.Kind != declared.KindEngine {
			continue
		}
		for _, pool := range e.Models {
			if !seen[pool] {
				seen[pool] = true
				pools = append(pools, pool)
			}
		}
	}
	return pools
}

// senderAt returns the sender at a point between 0 and 1 of the total weight.
func (m *Mix) senderAt(point float64) *sender {
	point *= m.totalWeight
	for i := range m.senders {
		point -= m.senders[i].weight
		if point < 0 {
			return &m.senders[i]
		}
	}
	return &m.senders[len(m.senders)-1]
}

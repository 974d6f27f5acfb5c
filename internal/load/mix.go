package load

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/declared"
)

// share is one kind of caller: an organisation with a tier.
type share struct {
	organisation string
	key          string
	tier         string
	deadline     time.Duration
	weight       float64
}

// Mix is who sends, drawn from a declared file: a tier has the weight of its
// share, and within it an organisation the weight of its percent.
type Mix struct {
	shares []share
	total  float64
	models []string
	// tiers has the tiers in the order of their ranks.
	tiers []string
}

// KeyOf returns the bearer key of an organisation, which a declared file holds
// only as a digest.
type KeyOf func(organisation string) string

// NewMix returns the mix of a declared file. An empty list of models means all
// pools of engines. It returns an error where there is nobody to send or
// nothing to send to.
func NewMix(f *declared.File, models []string, key KeyOf) (*Mix, error) {
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
	if m.total == 0 {
		return nil, errors.New("the file lets no organisation use a tier")
	}
	return m, nil
}

func (m *Mix) addTier(f *declared.File, t *declared.Tier, key KeyOf) {
	percent := 0
	for _, o := range f.Organisations {
		percent += o.Tiers[t.Name]
	}
	for _, o := range f.Organisations {
		if o.Tiers[t.Name] == 0 {
			continue
		}
		weight := float64(t.SharePercent) * float64(o.Tiers[t.Name]) / float64(percent)
		m.total += weight
		m.shares = append(m.shares, share{
			organisation: o.Name, key: key(o.Name), tier: t.Name, weight: weight,
			deadline: time.Duration(t.DeadlineMS) * time.Millisecond,
		})
	}
}

// enginePools returns the pools of the engines in the order of the file.
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

// pick returns the share at a point between 0 and 1 of all weights.
func (m *Mix) pick(point float64) *share {
	point *= m.total
	for i := range m.shares {
		point -= m.shares[i].weight
		if point < 0 {
			return &m.shares[i]
		}
	}
	return &m.shares[len(m.shares)-1]
}

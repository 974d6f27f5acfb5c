package experiment

import (
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/balsamstair/balsamstair/internal/declared"
)

// Matrix is a set of scenarios, each under every policy and seed.
type Matrix struct {
	Scenarios []Scenario
	Policies  []Policy
	Seeds     []uint64
	// Workers bounds how many runs go on at a time.
	Workers int
}

// Cell is one scenario under one policy: an outcome for each seed.
type Cell struct {
	Scenario Scenario
	Policy   Policy
	Outcomes []*Outcome
}

// Run measures the whole matrix. Each run has its own state, so that the
// order in which they go on changes nothing.
func (m *Matrix) Run() []Cell {
	bests := m.bests()
	var cells []Cell
	for _, s := range m.Scenarios {
		for _, p := range m.Policies {
			cells = append(cells, Cell{s, p, make([]*Outcome, len(m.Seeds))})
		}
	}
	var runs errgroup.Group
	runs.SetLimit(max(1, m.Workers))
	for i := range cells {
		for j, seed := range m.Seeds {
			runs.Go(func() error {
				c := &cells[i]
				c.Outcomes[j] = Run(c.Scenario, c.Policy, bests[bestKey{c.Scenario.File, seed}], seed)
				return nil
			})
		}
	}
	_ = runs.Wait()
	return cells
}

type bestKey struct {
	file *declared.File
	seed uint64
}

// bests measures what the engines of each deployment can do.
func (m *Matrix) bests() map[bestKey]map[string]Best {
	wanted := map[bestKey]bool{}
	for _, s := range m.Scenarios {
		for _, seed := range m.Seeds {
			wanted[bestKey{s.File, seed}] = true
		}
	}
	all := map[bestKey]map[string]Best{}
	var mu sync.Mutex
	var runs errgroup.Group
	runs.SetLimit(max(1, m.Workers))
	for k := range wanted {
		runs.Go(func() error {
			b := Bests(k.file, k.seed)
			mu.Lock()
			defer mu.Unlock()
			all[k] = b
			return nil
		})
	}
	_ = runs.Wait()
	return all
}

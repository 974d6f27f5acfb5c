package experiment

import (
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/balsamstair/balsamstair/internal/declared"
)

// Matrix is a set of scenarios that run with every policy and seed.
type Matrix struct {
	Scenarios []Scenario
	Policies  []Policy
	Seeds     []uint64
	// Workers limits the number of concurrent runs.
	Workers int
}

// Cell is one scenario with one policy and an outcome for each seed.
type Cell struct {
	Scenario Scenario
	Policy   Policy
	Outcomes []*Outcome
}

// Run measures the matrix. Each run has its own state, so that the result does
// not depend on the order of the runs.
func (m *Matrix) Run() []Cell {
	capacities := m.measureCapacities()
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
				c.Outcomes[j] = Run(c.Scenario, c.Policy, capacities[capacityKey{c.Scenario.File, seed}], seed)
				return nil
			})
		}
	}
	_ = runs.Wait()
	return cells
}

type capacityKey struct {
	file *declared.File
	seed uint64
}

// measureCapacities measures the capacity of the engines of each deployment.
func (m *Matrix) measureCapacities() map[capacityKey]map[string]Capacity {
	keys := map[capacityKey]bool{}
	for _, s := range m.Scenarios {
		for _, seed := range m.Seeds {
			keys[capacityKey{s.File, seed}] = true
		}
	}
	capacities := map[capacityKey]map[string]Capacity{}
	var mu sync.Mutex
	var runs errgroup.Group
	runs.SetLimit(max(1, m.Workers))
	for k := range keys {
		runs.Go(func() error {
			measured := MeasureCapacities(k.file, k.seed)
			mu.Lock()
			defer mu.Unlock()
			capacities[k] = measured
			return nil
		})
	}
	_ = runs.Wait()
	return capacities
}

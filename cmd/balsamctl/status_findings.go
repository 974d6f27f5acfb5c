package main

import (
	"fmt"
	"slices"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// healthy is how an instance names a peer that it hears from.
const healthy = "alive"

// findings returns what an operator should look at, one sentence each.
func findings(answers []answer) []string {
	out := []string{}
	for _, a := range answers {
		if a.Status == nil {
			out = append(out, fmt.Sprintf("%s: %s", a.Address, a.Error))
			continue
		}
		out = append(out, findingsOf(a.Status)...)
	}
	out = append(out, differentFiles(answers)...)
	return append(out, doublyOwned(answers)...)
}

func findingsOf(s *reducer.Status) []string {
	var out []string
	switch {
	case s.Stopping:
		out = append(out, fmt.Sprintf("%s is stopping and still holds %d requests", s.Instance, s.Held))
	case !s.Ready:
		out = append(out, s.Instance+" is not ready")
	}
	for _, p := range s.Peers {
		if p.Health != healthy {
			out = append(out, fmt.Sprintf("%s holds %s for %s, silent for %d ms", s.Instance, p.Instance, p.Health, p.SilentMS))
		}
	}
	for _, e := range s.Endpoints {
		switch {
		case !e.Owned:
		case e.Straggler:
			out = append(out, fmt.Sprintf("endpoint %s is a straggler at %.2f of its class's speed", e.Name, e.Speed))
		case !e.Available && !e.Leaving:
			out = append(out, fmt.Sprintf("endpoint %s is not available", e.Name))
		}
	}
	return out
}

// file identifies a declared file in force.
type file struct {
	revision uint64
	digest   string
}

func differentFiles(answers []answer) []string {
	holders := map[file][]string{}
	for _, a := range answers {
		if s := a.Status; s != nil && s.Revision > 0 {
			f := file{s.Revision, s.Digest}
			holders[f] = append(holders[f], s.Instance)
		}
	}
	if len(holders) < 2 {
		return nil
	}
	var out []string
	for f, instances := range holders {
		out = append(out, fmt.Sprintf("different files are in force: revision %d (%.12s) at %v", f.revision, f.digest, instances))
	}
	slices.Sort(out)
	return out
}

// zoned names an endpoint within its availability zone.
type zoned struct{ zone, endpoint string }

// doublyOwned finds endpoints that two instances hold for their own. For a
// moment after a change of ownership that is no fault.
func doublyOwned(answers []answer) []string {
	owners := map[zoned][]string{}
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, e := range a.Status.Endpoints {
			if e.Owned {
				key := zoned{a.Status.AvailabilityZone, e.Name}
				owners[key] = append(owners[key], a.Status.Instance)
			}
		}
	}
	var out []string
	for key, instances := range owners {
		if len(instances) > 1 {
			out = append(out, fmt.Sprintf("endpoint %s has several owners: %v", key.endpoint, instances))
		}
	}
	slices.Sort(out)
	return out
}

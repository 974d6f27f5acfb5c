package main

import (
	"fmt"
	"slices"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// healthAlive is the reported health of a peer that sends heartbeats.
const healthAlive = "alive"

// findings returns the conditions that an operator should examine, one message
// each.
func findings(results []instanceResult) []string {
	out := []string{}
	for _, a := range results {
		if a.Status == nil {
			out = append(out, fmt.Sprintf("%s: %s", a.Address, a.Error))
			continue
		}
		out = append(out, instanceFindings(a.Status)...)
	}
	out = append(out, fileFindings(results)...)
	return append(out, ownershipFindings(results)...)
}

func instanceFindings(s *reducer.Status) []string {
	var out []string
	switch {
	case s.Stopping:
		out = append(out, fmt.Sprintf("%s is stopping and still holds %d requests", s.Instance, s.Held))
	case !s.Ready:
		out = append(out, s.Instance+" is not ready")
	}
	for _, p := range s.Peers {
		if p.Health != healthAlive {
			out = append(out, fmt.Sprintf("%s holds %s for %s, silent for %d ms", s.Instance, p.Instance, p.Health, p.LastContactAgeMS))
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

// fileVersion identifies the declared file that is in force at an instance.
type fileVersion struct {
	revision uint64
	digest   string
}

func fileFindings(results []instanceResult) []string {
	instancesByFile := map[fileVersion][]string{}
	for _, a := range results {
		if s := a.Status; s != nil && s.Revision > 0 {
			f := fileVersion{s.Revision, s.Digest}
			instancesByFile[f] = append(instancesByFile[f], s.Instance)
		}
	}
	if len(instancesByFile) < 2 {
		return nil
	}
	var out []string
	for f, instances := range instancesByFile {
		out = append(out, fmt.Sprintf("different files are in force: revision %d (%.12s) at %v", f.revision, f.digest, instances))
	}
	slices.Sort(out)
	return out
}

// endpointKey identifies an endpoint by its availability zone and name.
type endpointKey struct{ zone, endpoint string }

// ownershipFindings reports endpoints that more than one instance owns. Shortly
// after a change of ownership this is normal.
func ownershipFindings(results []instanceResult) []string {
	ownersByEndpoint := map[endpointKey][]string{}
	for _, a := range results {
		if a.Status == nil {
			continue
		}
		for _, e := range a.Status.Endpoints {
			if e.Owned {
				key := endpointKey{a.Status.AvailabilityZone, e.Name}
				ownersByEndpoint[key] = append(ownersByEndpoint[key], a.Status.Instance)
			}
		}
	}
	var out []string
	for key, instances := range ownersByEndpoint {
		if len(instances) > 1 {
			out = append(out, fmt.Sprintf("endpoint %s has several owners: %v", key.endpoint, instances))
		}
	}
	slices.Sort(out)
	return out
}

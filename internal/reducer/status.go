package reducer

import "encoding/hex"

// Status is a snapshot of the control state for operators and their tools.
type Status struct {
	Instance         string           `json:"instance"`
	AvailabilityZone string           `json:"availability_zone"`
	Incarnation      uint64           `json:"incarnation"`
	Ready            bool             `json:"ready"`
	Stopping         bool             `json:"stopping"`
	Revision         uint64           `json:"revision"`
	Digest           string           `json:"digest"`
	Held             int              `json:"held_requests"`
	Waiting          int              `json:"waiting_requests"`
	Records          int              `json:"records"`
	Suspects         int              `json:"crash_suspects"`
	Peers            []PeerStatus     `json:"peers"`
	Endpoints        []EndpointStatus `json:"endpoints"`
	Pools            []PoolStatus     `json:"pools"`
}

// PeerStatus is the state of a peer as this instance sees it.
type PeerStatus struct {
	Instance         string `json:"instance"`
	Incarnation      uint64 `json:"incarnation"`
	Health           string `json:"health"`
	Leaving          bool   `json:"leaving"`
	Revision         uint64 `json:"revision"`
	LastContactAgeMS int64  `json:"silent_ms"`
}

// EndpointStatus is the state of an endpoint of the zone as this instance sees
// it.
type EndpointStatus struct {
	Name      string  `json:"name"`
	Class     string  `json:"class"`
	Owner     uint64  `json:"owner"`
	Owned     bool    `json:"owned"`
	Slots     int     `json:"slots"`
	Granted   int     `json:"granted"`
	Speed     float64 `json:"speed"`
	Straggler bool    `json:"straggler"`
	Leaving   bool    `json:"leaving"`
	Available bool    `json:"available"`
}

// PoolStatus is the state of a pool's queue at this owner.
type PoolStatus struct {
	Name       string `json:"name"`
	Waiting    []int  `json:"waiting_by_rank"`
	FreeSlots  int    `json:"free_slots"`
	ClosedFrom int    `json:"closed_from_rank"`
}

// Status returns a snapshot of the control state.
func (s *State) Status() Status {
	st := Status{
		Instance: s.cfg.Instance, AvailabilityZone: s.cfg.AvailabilityZone,
		Incarnation: uint64(s.cfg.Incarnation), Ready: s.ready, Stopping: s.stopping,
		Held: len(s.requests), Records: len(s.records), Suspects: len(s.suspectFingerprints()),
	}
	if s.file != nil {
		d := s.file.Digest()
		st.Revision, st.Digest = s.file.Revision, hex.EncodeToString(d[:])
	}
	for _, r := range s.requests {
		if r.waiting() {
			st.Waiting++
		}
	}
	for _, p := range s.peerOrder {
		st.Peers = append(st.Peers, PeerStatus{
			Instance: p.name, Incarnation: uint64(p.id), Health: healthNames[p.health],
			Leaving: p.leaving, Revision: p.revision, LastContactAgeMS: s.now.Sub(p.lastContact).Milliseconds(),
		})
	}
	for _, e := range s.endpointOrder {
		st.Endpoints = append(st.Endpoints, s.endpointStatus(e))
	}
	for _, p := range s.poolOrder {
		ps := PoolStatus{Name: p.name, FreeSlots: s.freeSlots(p), ClosedFrom: s.highestClosedRank(p)}
		for _, t := range p.tiers {
			ps.Waiting = append(ps.Waiting, t.waiting)
		}
		st.Pools = append(st.Pools, ps)
	}
	return st
}

func (s *State) endpointStatus(e *endpoint) EndpointStatus {
	es := EndpointStatus{
		Name: e.name, Owner: uint64(e.owner), Owned: e.owner == s.cfg.Incarnation,
		Slots: e.slots, Granted: len(e.grants), Speed: e.speedRatio, Straggler: e.straggler,
		Leaving: e.leaving(), Available: s.available(e),
	}
	if e.class != nil {
		es.Class = e.class.Name
	}
	return es
}

// Explain returns the recent decisions on one request, oldest first.
func (s *State) Explain(id RequestID) []Decision { return s.decisions.forRequest(id) }

// Package evacuation decides which availability zones are evacuated.
//
// Inputs are the writes and deletions of evacuation keys with their revisions, as old as
// the read of the platform that brought them, and the full listings of the platform. A
// change that is older than what is known of its zone has no effect. A listing that lacks
// a key ends the evacuation, unless the listing may be incomplete or is older than the key.
// internal/scheduler calls it for each read.
//
// The package does no I/O and reads no clock.
package evacuation

import (
	"maps"
	"math"
	"slices"
)

// maxEnded bounds the ended evacuations that are remembered.
const maxEnded = 256

// Zones holds the evacuated zones. The zero value holds none.
type Zones struct {
	// evacuated and ended hold the revision of the last change of each zone.
	evacuated, ended map[string]int64
}

// Evacuated reports whether a zone is evacuated.
func (z *Zones) Evacuated(zone string) bool {
	_, evacuated := z.evacuated[zone]
	return evacuated
}

// Any reports whether any zone is evacuated.
func (z *Zones) Any() bool { return len(z.evacuated) > 0 }

// Names returns the evacuated zones in order.
func (z *Zones) Names() []string { return slices.Sorted(maps.Keys(z.evacuated)) }

// Begin records the write of a zone's key and reports whether the zone was not evacuated
// before.
func (z *Zones) Begin(zone string, revision int64) (began bool) {
	known, evacuated := z.evacuated[zone]
	if end, ended := z.ended[zone]; ended && revision < end {
		return false
	}
	if z.evacuated == nil {
		z.evacuated = map[string]int64{}
	}
	delete(z.ended, zone)
	z.evacuated[zone] = max(known, revision)
	return !evacuated
}

// End records the deletion of a zone's key and reports whether the zone was evacuated.
func (z *Zones) End(zone string, revision int64) (ended bool) {
	known, evacuated := z.evacuated[zone]
	if evacuated && revision < known {
		return false
	}
	if z.ended == nil {
		z.ended = map[string]int64{}
	}
	z.ended[zone] = max(z.ended[zone], revision)
	delete(z.evacuated, zone)
	z.forgetOldest()
	return evacuated
}

// EndUnlisted ends the evacuations that a full listing of a revision lacks, and returns
// their zones in order.
func (z *Zones) EndUnlisted(listed map[string]bool, revision int64) (ended []string) {
	for _, zone := range z.Names() {
		if !listed[zone] && z.End(zone, revision) {
			ended = append(ended, zone)
		}
	}
	return ended
}

// ResetRevisions forgets all revisions, which mean nothing once the platform's history was
// replaced. The evacuations remain.
func (z *Zones) ResetRevisions() {
	for zone := range z.evacuated {
		z.evacuated[zone] = 0
	}
	z.ended = nil
}

func (z *Zones) forgetOldest() {
	if len(z.ended) <= maxEnded {
		return
	}
	oldest, at := "", int64(math.MaxInt64)
	for zone, revision := range z.ended {
		if revision < at || revision == at && zone < oldest {
			oldest, at = zone, revision
		}
	}
	delete(z.ended, oldest)
}

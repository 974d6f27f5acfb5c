package evacuation

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a repeated key that begins an evacuation twice, and against an old write
// or deletion, which a relay may deliver late, that has an effect.
func TestNewestChangeOfAZoneCounts(t *testing.T) {
	var z Zones
	must.True(t, z.Begin("a", 5))
	must.False(t, z.Begin("a", 5))
	must.False(t, z.End("a", 4))
	must.True(t, z.Evacuated("a"))
	must.True(t, z.End("a", 6))
	must.False(t, z.End("a", 6))
	must.False(t, z.Begin("a", 5))
	must.False(t, z.Evacuated("a"))
	must.True(t, z.Begin("a", 7))
}

// Guards against a listing from before an evacuation that ends it.
func TestListingEndsOnlyOlderEvacuations(t *testing.T) {
	var z Zones
	z.Begin("a", 5)
	z.Begin("b", 9)
	z.Begin("c", 5)
	must.Eq(t, []string{"a"}, z.EndUnlisted(map[string]bool{"c": true}, 8))
	must.Eq(t, []string{"b", "c"}, z.Names())
}

// Guards against a replaced history, in which revisions are given out again, and an
// evacuation that can't end any more.
func TestEvacuationEndsInANewHistory(t *testing.T) {
	var z Zones
	z.Begin("a", 900)
	z.ResetRevisions()
	must.True(t, z.Evacuated("a"))
	must.True(t, z.End("a", 3))
}

// Guards against memory that grows with the number of zones that were ever evacuated.
func TestEndedEvacuationsAreBounded(t *testing.T) {
	var z Zones
	for n := range 3 * maxEnded {
		z.Begin(fmt.Sprint(n), int64(n))
		z.End(fmt.Sprint(n), int64(n))
	}
	must.Eq(t, maxEnded, len(z.ended))
}

package declared

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/shoenig/test/must"
)

func TestLookups(t *testing.T) {
	f := parseExample(t, "piedmont")
	must.Eq(t, []string{"piedmont-a", "piedmont-b", "piedmont-c", "piedmont-d"}, f.Zones())
	must.Eq(t, []string{"booking", "repair-desk"}, f.Pools())
	must.Len(t, 6, f.EndpointsIn("piedmont-a"))
	must.Len(t, 0, f.EndpointsIn("piedmont-e"))
	must.Eq(t, "127.0.0.1:21018", f.Endpoint("runner-18").Address)
	must.Eq(t, 2, f.Tier("estimates").Rank)
	must.Eq(t, 40, f.Class("booking").CallsPerSecond)
	must.Eq(t, 15, f.Organisation("macon-splint-guild").Tiers["answers"])
	must.Nil(t, f.Organisation("nobody"))
	must.Nil(t, f.Tier("nothing"))
	must.Nil(t, f.Class("nothing"))
	must.Nil(t, f.Endpoint("nothing"))
}

func TestRoutePrefersExactThenLongestPath(t *testing.T) {
	f := &File{Routes: []Route{
		{Name: "exact", Method: "GET", Path: "/a/b"},
		{Name: "below-a", Method: "GET", Path: "/a/"},
		{Name: "below-a-b", Method: "GET", Path: "/a/b/"},
		{Name: "post", Method: "POST", Path: "/a/b"},
	}}
	for _, c := range []struct{ method, path, want string }{
		{"GET", "/a/b", "exact"},
		{"POST", "/a/b", "post"},
		{"GET", "/a/b/", "below-a-b"},
		{"GET", "/a/b/c/d", "below-a-b"},
		{"GET", "/a/c", "below-a"},
		{"GET", "/a/", "below-a"},
		{"GET", "/a", ""},
		{"GET", "/", ""},
		{"GET", "", ""},
		{"GET", "a/b", ""},
		{"PUT", "/a/b", ""},
	} {
		name := ""
		if r := f.Route(c.method, c.path); r != nil {
			name = r.Name
		}
		must.Eq(t, c.want, name, must.Sprintf("%s %s", c.method, c.path))
	}
}

func TestOrganisationByKeyComparesFullDigest(t *testing.T) {
	digest := sha256.Sum256([]byte("the key"))
	samePrefix := digest
	samePrefix[31] ^= 1
	for _, order := range [][]Organisation{
		{{Name: "right", KeySHA256: []string{hex.EncodeToString(digest[:])}}, {Name: "twin", KeySHA256: []string{hex.EncodeToString(samePrefix[:])}}},
		{{Name: "twin", KeySHA256: []string{hex.EncodeToString(samePrefix[:])}}, {Name: "right", KeySHA256: []string{hex.EncodeToString(digest[:])}}},
	} {
		o, ok := (&File{Organisations: order}).OrganisationByKey("the key")
		must.True(t, ok)
		must.Eq(t, "right", o.Name)
	}
	_, ok := (&File{Organisations: []Organisation{{KeySHA256: []string{hex.EncodeToString(samePrefix[:])}}}}).OrganisationByKey("the key")
	must.False(t, ok)
}

// An organisation may have several keys, so that a key can be replaced without
// an interruption.
func TestOrganisationHoldsSeveralKeys(t *testing.T) {
	first, second := sha256.Sum256([]byte("first")), sha256.Sum256([]byte("second"))
	f := &File{Organisations: []Organisation{{Name: "o", KeySHA256: []string{hex.EncodeToString(first[:]), hex.EncodeToString(second[:])}}}}
	for _, key := range []string{"first", "second"} {
		_, ok := f.OrganisationByKey(key)
		must.True(t, ok)
	}
	_, ok := f.OrganisationByKey("")
	must.False(t, ok)
}

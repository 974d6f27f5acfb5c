package declared

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
)

// index holds the data for look-ups in a file that need no scan of it.
type index struct {
	tiers         map[string]*Tier
	classes       map[string]*Class
	endpoints     map[string]*Endpoint
	organisations map[string]*Organisation
	// keys is sorted by digest.
	keys   []keyOwner
	routes map[routeKey]*Route

	zones       []string
	byZone      map[string][]*Endpoint
	pools       []string
	zoneWeights zoneWeights
}

// keyOwner is the digest of a bearer key and the organisation that it belongs
// to.
type keyOwner struct {
	digest Digest
	owner  *Organisation
}

type routeKey struct{ method, path string }

// Indexed returns a copy of f with a prepared index, which makes look-ups fast.
// It serves files that do not come from Parse, such as those that tests build,
// and does not validate them.
func Indexed(f File) *File {
	f.index = newIndex(&f)
	return &f
}

// indexed returns the index of f. For a file that neither Parse nor Indexed
// returned, the index is built anew on each call.
func (f *File) indexed() *index {
	if f.index != nil {
		return f.index
	}
	return newIndex(f)
}

func newIndex(f *File) *index {
	x := &index{
		tiers:         byName(f.Tiers, func(t *Tier) string { return t.Name }),
		classes:       byName(f.Classes, func(c *Class) string { return c.Name }),
		endpoints:     byName(f.Endpoints, func(e *Endpoint) string { return e.Name }),
		organisations: byName(f.Organisations, func(o *Organisation) string { return o.Name }),
		byZone:        make(map[string][]*Endpoint),
	}
	x.indexKeys(f)
	x.indexRoutes(f)
	x.indexEndpoints(f)
	x.zoneWeights = newZoneWeights(f, x)
	return x
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

func (x *index) indexKeys(f *File) {
	x.keys = make([]keyOwner, 0, len(f.Organisations))
	for i := range f.Organisations {
		o := &f.Organisations[i]
		for _, key := range o.KeySHA256 {
			if d, ok := parseDigest(key); ok {
				x.keys = append(x.keys, keyOwner{d, o})
			}
		}
	}
	slices.SortFunc(x.keys, func(a, b keyOwner) int { return bytes.Compare(a.digest[:], b.digest[:]) })
}

func (x *index) indexRoutes(f *File) {
	x.routes = make(map[routeKey]*Route, len(f.Routes))
	for i := range f.Routes {
		r := &f.Routes[i]
		x.routes[routeKey{r.Method, r.Path}] = r
	}
}

func (x *index) indexEndpoints(f *File) {
	pools := make(map[string]bool)
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		if _, ok := x.byZone[e.AvailabilityZone]; !ok {
			x.zones = append(x.zones, e.AvailabilityZone)
		}
		x.byZone[e.AvailabilityZone] = append(x.byZone[e.AvailabilityZone], e)
		for _, m := range e.Models {
			pools[m] = true
		}
	}
	for p := range pools {
		x.pools = append(x.pools, p)
	}
	slices.Sort(x.zones)
	slices.Sort(x.pools)
}

// parseDigest reads 64 hexadecimal digits.
func parseDigest(text string) (Digest, bool) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

// Tier returns the tier of that name, or nil.
func (f *File) Tier(name string) *Tier { return f.indexed().tiers[name] }

// Class returns the class of that name, or nil.
func (f *File) Class(name string) *Class { return f.indexed().classes[name] }

// Endpoint returns the endpoint of that name, or nil.
func (f *File) Endpoint(name string) *Endpoint { return f.indexed().endpoints[name] }

// Organisation returns the organisation of that name, or nil.
func (f *File) Organisation(name string) *Organisation { return f.indexed().organisations[name] }

// OrganisationByKey returns the organisation that the bearer key belongs to. It
// finds the key's digest by its first bytes, which reveal nothing about the
// key, and compares the full digest in constant time.
func (f *File) OrganisationByKey(bearer string) (*Organisation, bool) {
	const comparedBytes = 8
	digest := Digest(sha256.Sum256([]byte(bearer)))
	keys := f.indexed().keys
	at, _ := slices.BinarySearchFunc(keys, digest, func(k keyOwner, d Digest) int {
		return bytes.Compare(k.digest[:comparedBytes], d[:comparedBytes])
	})
	var found *Organisation
	for ; at < len(keys) && bytes.Equal(keys[at].digest[:comparedBytes], digest[:comparedBytes]); at++ {
		if subtle.ConstantTimeCompare(keys[at].digest[:], digest[:]) == 1 {
			found = keys[at].owner
		}
	}
	return found, found != nil
}

// Route returns the route for a method and path, or nil. An exact path takes
// precedence over a prefix, and a longer prefix over a shorter one.
func (f *File) Route(method, path string) *Route {
	routes := f.indexed().routes
	if r := routes[routeKey{method, path}]; r != nil {
		return r
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[routeKey{method, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// Zones returns the availability zones that have endpoints, sorted. The caller
// must not modify the slice.
func (f *File) Zones() []string { return f.indexed().zones }

// EndpointsIn returns the endpoints of an availability zone in the order of the
// file. The caller must not modify the slice.
func (f *File) EndpointsIn(zone string) []*Endpoint { return f.indexed().byZone[zone] }

// Pools returns the names of all models and services that endpoints list,
// sorted. The caller must not modify the slice.
func (f *File) Pools() []string { return f.indexed().pools }

// sortedKeys returns the keys of m in order, so that iterating over a map is
// deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

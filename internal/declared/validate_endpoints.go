package declared

import (
	"math"
	"net/netip"
	"path"
	"strings"

	"github.com/balsamstair/balsamstair/internal/strict"
)

// ChatPath is the path of the model engines' calls; routes may not take it.
const ChatPath = "/v1/chat/completions"

// poolSummary is what the endpoints of one pool come to.
type poolSummary struct {
	// first is the index of the first endpoint that lists the pool, and kind
	// is its kind.
	first int
	kind  Kind
	// staying counts endpoints that are not leaving.
	staying int
}

func (v *validator) checkEndpoints() {
	endpoints := v.file.Endpoints
	v.names(tableEndpoint, len(endpoints), func(i int) string { return endpoints[i].Name })
	addresses := make(map[netip.AddrPort]int, len(endpoints))
	for i := range endpoints {
		e, r := &endpoints[i], row{tableEndpoint, i}
		v.name(r.key("availability_zone"), e.AvailabilityZone)
		v.address(r, e.Address, addresses)
		v.within(r.key("slots"), int64(e.Slots), 1, maxSlots)
		kind := Kind("")
		if c, ok := v.classes[e.Class]; ok {
			kind = v.file.Classes[c].Kind
		} else {
			v.unknown(r.key("class"), "class", e.Class)
		}
		v.models(r, e, kind)
	}
}

// unknown reports a name that is missing or that nothing bears.
func (v *validator) unknown(at strict.Path, what, name string) {
	if name == "" {
		v.report.Add(at, "is missing")
		return
	}
	v.report.Add(at, "there is no %s %q", what, name)
}

func (v *validator) address(r row, text string, addresses map[netip.AddrPort]int) {
	at := r.key("address")
	a, err := netip.ParseAddrPort(text)
	switch {
	case text == "":
		v.report.Add(at, "is missing")
	case err != nil:
		v.report.Add(at, "%q is not an IP number with a port; host names are not looked up", text)
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		v.report.Add(at, "%q cannot be connected to", text)
	default:
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		if earlier, ok := addresses[a]; ok {
			v.report.Add(at, "%q is also the address of endpoint %q on line %d", text,
				v.file.Endpoints[earlier].Name, v.report.Line(row{tableEndpoint, earlier}.key("address")))
			return
		}
		addresses[a] = r.index
	}
}

func (v *validator) models(r row, e *Endpoint, kind Kind) {
	at := r.key("models")
	if len(e.Models) == 0 {
		v.report.Add(at, "is missing; an endpoint belongs to one pool at least")
	}
	listed := make(map[string]bool, len(e.Models))
	for _, m := range e.Models {
		if !v.name(at, m) {
			continue
		}
		if listed[m] {
			v.report.Add(at, "%q is listed twice", m)
			continue
		}
		listed[m] = true
		v.joinPool(at, r.index, m, kind, e.Leaving)
	}
}

// joinPool counts an endpoint in a pool, which holds one kind only: a request
// to a model never reaches a plain service.
func (v *validator) joinPool(at strict.Path, index int, name string, kind Kind, leaving bool) {
	p := v.pools[name]
	if p == nil {
		p = &poolSummary{first: index, kind: kind}
		v.pools[name] = p
	}
	if !leaving {
		p.staying++
	}
	if kind != "" && p.kind != "" && kind != p.kind {
		v.report.Add(at, "pool %q is of kind %s here and of kind %s on line %d", name, kind, p.kind,
			v.report.Line(row{tableEndpoint, p.first}.key("models")))
	}
}

func (v *validator) checkRoutes() {
	routes := v.file.Routes
	v.names(tableRoute, len(routes), func(i int) string { return routes[i].Name })
	calls := make(map[routeKey]int, len(routes))
	for i := range routes {
		rt, r := &routes[i], row{tableRoute, i}
		v.call(r, rt, calls)
		switch p := v.pools[rt.Pool]; {
		case p == nil:
			v.unknown(r.key("pool"), "endpoint with the service", rt.Pool)
		case p.kind == KindEngine:
			v.report.Add(r.key("pool"), "%q is a model; routes lead to services", rt.Pool)
		}
		if _, ok := v.tiers[rt.Tier]; !ok && rt.Tier != "" {
			v.unknown(r.key("tier"), "tier", rt.Tier)
		}
	}
}

// call checks method and path, and that no other route has the same.
func (v *validator) call(r row, rt *Route, calls map[routeKey]int) {
	v.method(r.key("method"), rt.Method)
	switch {
	case rt.Path == "":
		v.report.Add(r.key("path"), "is missing")
	case !cleanPath(rt.Path):
		v.report.Add(r.key("path"), "%q is not a plain path that begins with a slash", rt.Path)
	case rt.Path == ChatPath:
		v.report.Add(r.key("path"), "%q belongs to the models", rt.Path)
	}
	key := routeKey{rt.Method, rt.Path}
	if earlier, ok := calls[key]; ok && rt.Path != "" {
		v.report.Add(r.key("path"), "%s %s is already route %q on line %d", rt.Method, rt.Path,
			v.file.Routes[earlier].Name, v.report.Line(row{tableRoute, earlier}.key("path")))
		return
	}
	calls[key] = r.index
}

func (v *validator) method(at strict.Path, method string) {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	case "":
		v.report.Add(at, "is missing")
	default:
		v.report.Add(at, "%q is not GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS", method)
	}
}

// cleanPath reports whether p is how a path reaches the router: no dot
// segments, no query, nothing that needs escaping.
func cleanPath(p string) bool {
	if p[0] != '/' || len(p) > 1 && path.Clean(p) != strings.TrimSuffix(p, "/") {
		return false
	}
	for i := range len(p) {
		if c := p[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`?#%"<>\^{|}`+"`", c) >= 0 {
			return false
		}
	}
	return true
}

// checkPromises refuses shares of pools that can do nothing.
func (v *validator) checkPromises() {
	promised := 0
	for i := range v.file.Tiers {
		promised += max(v.file.Tiers[i].SharePercent, 0)
	}
	if promised == 0 {
		return
	}
	for _, name := range sortedKeys(v.pools) {
		p := v.pools[name]
		if p.staying == 0 {
			v.report.Add(row{tableEndpoint, p.first}.key("leaving"),
				"all endpoints of pool %q are leaving, of which tiers are promised shares", name)
		}
	}
}

// checkTotals refuses rates and prices whose bill of a month cannot be
// counted.
func (v *validator) checkTotals() {
	counts := make(map[string]int64, len(v.file.Classes))
	for i := range v.file.Endpoints {
		counts[v.file.Endpoints[i].Class]++
	}
	total := int64(0)
	for i := range v.file.Classes {
		c := &v.file.Classes[i]
		if !c.countable() || total == math.MaxInt64 {
			continue
		}
		bounded := *c
		if c.cachedUnbounded() {
			bounded.CachedMicrosPerMTok = 0
		}
		total = saturatingSum(total, saturatingProduct(counts[c.Name], bounded.monthMicros(true)))
		if total == math.MaxInt64 {
			v.report.Add(row{tableClass, i}.key(""), "rates and prices come to a month's bill that is too large to count")
		}
	}
}

// countable reports whether every number of c is within its limits.
func (c *Class) countable() bool {
	for _, n := range []int64{c.PrefillTokensPerSecond, c.DecodeTokensPerSecond, c.CachedTokensPerSecond, c.CallsPerSecond} {
		if n < 0 || n > maxRate {
			return false
		}
	}
	for _, n := range []int64{c.PrefillMicrosPerMTok, c.CachedMicrosPerMTok, c.GeneratedMicrosPerMTok, c.CallMicros} {
		if n < 0 || n > maxPriceMicros {
			return false
		}
	}
	return true
}

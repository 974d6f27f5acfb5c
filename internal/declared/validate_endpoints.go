package declared

import (
	"math"
	"net/netip"
	"path"
	"strings"

	"github.com/balsamstair/balsamstair/internal/strict"
)

// ChatPath is the path of requests to model engines; routes must not use it.
const ChatPath = "/v1/chat/completions"

// poolSummary summarises the endpoints of one pool.
type poolSummary struct {
	// first is the index of the first endpoint that lists the pool, and kind
	// is its kind.
	first int
	kind  Kind
	// active counts the endpoints that are not leaving.
	active int
}

func (v *validator) checkEndpoints() {
	endpoints := v.file.Endpoints
	v.checkNames(tableEndpoint, len(endpoints), func(i int) string { return endpoints[i].Name })
	addresses := make(map[netip.AddrPort]int, len(endpoints))
	for i := range endpoints {
		e, r := &endpoints[i], element{tableEndpoint, i}
		v.checkName(r.key("availability_zone"), e.AvailabilityZone)
		v.checkAddress(r, e.Address, addresses)
		v.checkRange(r.key("slots"), int64(e.Slots), 1, maxSlots)
		kind := Kind("")
		if c, ok := v.classes[e.Class]; ok {
			kind = v.file.Classes[c].Kind
		} else {
			v.reportUnknownName(r.key("class"), "class", e.Class)
		}
		v.checkModels(r, e, kind)
	}
}

// reportUnknownName reports a name that is missing or not declared.
func (v *validator) reportUnknownName(at strict.Path, what, name string) {
	if name == "" {
		v.report.Add(at, "is missing")
		return
	}
	v.report.Add(at, "there is no %s %q", what, name)
}

func (v *validator) checkAddress(r element, text string, addresses map[netip.AddrPort]int) {
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
				v.file.Endpoints[earlier].Name, v.report.Line(element{tableEndpoint, earlier}.key("address")))
			return
		}
		addresses[a] = r.index
	}
}

func (v *validator) checkModels(r element, e *Endpoint, kind Kind) {
	at := r.key("models")
	if len(e.Models) == 0 {
		v.report.Add(at, "is missing; an endpoint belongs to one pool at least")
	}
	listed := make(map[string]bool, len(e.Models))
	for _, m := range e.Models {
		if !v.checkName(at, m) {
			continue
		}
		if listed[m] {
			v.report.Add(at, "%q is listed twice", m)
			continue
		}
		listed[m] = true
		v.addToPool(at, r.index, m, kind, e.Leaving)
	}
}

// addToPool counts an endpoint in a pool. A pool has endpoints of one kind
// only, so that a request for a model never reaches a plain service.
func (v *validator) addToPool(at strict.Path, index int, name string, kind Kind, leaving bool) {
	p := v.pools[name]
	if p == nil {
		p = &poolSummary{first: index, kind: kind}
		v.pools[name] = p
	}
	if !leaving {
		p.active++
	}
	if kind != "" && p.kind != "" && kind != p.kind {
		v.report.Add(at, "pool %q is of kind %s here and of kind %s on line %d", name, kind, p.kind,
			v.report.Line(element{tableEndpoint, p.first}.key("models")))
	}
}

func (v *validator) checkRoutes() {
	routes := v.file.Routes
	v.checkNames(tableRoute, len(routes), func(i int) string { return routes[i].Name })
	routeIndexes := make(map[routeKey]int, len(routes))
	for i := range routes {
		rt, r := &routes[i], element{tableRoute, i}
		v.checkRouteKey(r, rt, routeIndexes)
		switch p := v.pools[rt.Pool]; {
		case p == nil:
			v.reportUnknownName(r.key("pool"), "endpoint with the service", rt.Pool)
		case p.kind == KindEngine:
			v.report.Add(r.key("pool"), "%q is a model; routes lead to services", rt.Pool)
		}
		if _, ok := v.tiers[rt.Tier]; !ok && rt.Tier != "" {
			v.reportUnknownName(r.key("tier"), "tier", rt.Tier)
		}
	}
}

// checkRouteKey checks method and path, and that no other route has the same
// pair.
func (v *validator) checkRouteKey(r element, rt *Route, routeIndexes map[routeKey]int) {
	v.checkMethod(r.key("method"), rt.Method)
	switch {
	case rt.Path == "":
		v.report.Add(r.key("path"), "is missing")
	case !isCleanPath(rt.Path):
		v.report.Add(r.key("path"), "%q is not a plain path that begins with a slash", rt.Path)
	case rt.Path == ChatPath:
		v.report.Add(r.key("path"), "%q belongs to the models", rt.Path)
	}
	key := routeKey{rt.Method, rt.Path}
	if earlier, ok := routeIndexes[key]; ok && rt.Path != "" {
		v.report.Add(r.key("path"), "%s %s is already route %q on line %d", rt.Method, rt.Path,
			v.file.Routes[earlier].Name, v.report.Line(element{tableRoute, earlier}.key("path")))
		return
	}
	routeIndexes[key] = r.index
}

func (v *validator) checkMethod(at strict.Path, method string) {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	case "":
		v.report.Add(at, "is missing")
	default:
		v.report.Add(at, "%q is not GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS", method)
	}
}

// isCleanPath reports whether p has the form in which paths reach the router:
// no dot segments, no query, no characters that need escaping.
func isCleanPath(p string) bool {
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

// checkPoolShares rejects guaranteed shares of pools without an active
// endpoint.
func (v *validator) checkPoolShares() {
	promisedPercent := 0
	for i := range v.file.Tiers {
		promisedPercent += max(v.file.Tiers[i].SharePercent, 0)
	}
	if promisedPercent == 0 {
		return
	}
	for _, name := range sortedKeys(v.pools) {
		p := v.pools[name]
		if p.active == 0 {
			v.report.Add(element{tableEndpoint, p.first}.key("leaving"),
				"all endpoints of pool %q are leaving, of which tiers are promised shares", name)
		}
	}
}

// checkMonthlyBill rejects rates and prices whose monthly bill is too large for
// an int64.
func (v *validator) checkMonthlyBill() {
	counts := make(map[string]int64, len(v.file.Classes))
	for i := range v.file.Endpoints {
		counts[v.file.Endpoints[i].Class]++
	}
	total := int64(0)
	for i := range v.file.Classes {
		c := &v.file.Classes[i]
		if !c.withinLimits() || total == math.MaxInt64 {
			continue
		}
		bounded := *c
		if c.cachedUnbounded() {
			bounded.CachedMicrosPerMTok = 0
		}
		total = saturatingSum(total, saturatingProduct(counts[c.Name], bounded.maxMonthlyMicros(true)))
		if total == math.MaxInt64 {
			v.report.Add(element{tableClass, i}.key(""), "rates and prices come to a month's bill that is too large to count")
		}
	}
}

// withinLimits reports whether every number of c is within its limits.
func (c *Class) withinLimits() bool {
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

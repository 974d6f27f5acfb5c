package site

// Route is a route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	TimeoutMs             int
	Attempts              int
	Public, Resumable     bool
}

// Host is the host of all routes, Key the key of the tenant Tenant.
const (
	Host   = "ficu95.example"
	Key    = "i9n73hh2b9wu3fexd9dn"
	Tenant = "hule930"
)

// Configure writes a configuration with the routes, one tenant without a limit and the
// limits of the pages' example. The store's return is the acknowledgement.
func (s *Site) Configure(version int, routes ...Route) {
	var all []map[string]any
	services := map[string]bool{}
	for n, r := range routes {
		all = append(all, map[string]any{
			"Name": "r-" + string(rune('a'+n)), "Host": Host, "Prefix": r.Prefix, "RouteKind": r.Kind, "TimeoutMs": r.TimeoutMs,
			"TargetLatencyMs": 300, "Priority": 2, "Service": r.Service, "MaxAttempts": r.Attempts, "Public": r.Public,
			"Sticky": false, "Resumable": r.Resumable, "GapTargetMs": 1000,
		})
		services[r.Service] = true
	}
	var list []map[string]any
	for name := range services {
		list = append(list, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": false})
	}
	s.Store.Put("op/config", map[string]any{
		"Version": version, "Routes": all, "Services": list,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": Tenant, "ApiKeys": []string{Key}, "Priority": 1, "Unit": "tokens", "UncachedTokens": 200, "RatePerS": 0, "Burst": 0}},
	})
	s.Note("configuration %d acknowledged", version)
}

package main

const (
	hostName = "ficu95.example"
	appName  = "wuno96b"
	llmName  = "huvo11a"
	// Prefixes of the routes.
	unsafePrefix = "/puxa403/"
	safePrefix   = "/cufi504/"
	streamPrefix = "/lohu930/"
)

type tenant struct {
	Name           string
	ApiKeys        []string
	Priority       int
	Unit           string
	UncachedTokens int
	RatePerS       float64
	Burst          float64
}

func newTenant(name string, keys ...string) tenant {
	return tenant{Name: name, ApiKeys: keys, Priority: 1, Unit: "tokens", UncachedTokens: 200, RatePerS: 200147, Burst: 200147}
}

// configuration returns a value of op/config with the routes of the site kfo-stair.
func configuration(version int, tenants []tenant) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "Prefix": prefix, "RouteKind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target,
			"Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": kind == "stream", "Resumable": resumable,
			"GapTargetMs": 400,
		}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("r-unsafe", unsafePrefix, "unsafe", appName, 1500, 300, 2, false),
			route("r-safe", safePrefix, "safe", appName, 1500, 300, 2, false),
			route("r-stream", streamPrefix, "stream", llmName, 15000, 1500, 2, true),
		},
		"Services": []any{
			map[string]any{"Name": appName, "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": llmName, "HealthPath": "/healthz", "MaxConnections": 620, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": 11, "KvCapacity": 444000}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	}
}

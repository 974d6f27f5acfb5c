package routing

import (
	"net"
	"sort"
	"strings"
)

// Table is an indexed Config. It is safe for concurrent use.
type Table struct {
	config Config
	// byHost holds each host's routes, the longest prefix first.
	byHost        map[string][]*Route
	byKey         map[string]*Organisation
	services      map[string]*Service
	organisations map[string]*Organisation
}

// NewTable indexes a configuration. It keeps the configuration, which must
// not change afterwards.
func NewTable(config Config) *Table {
	t := &Table{
		config:        config,
		byHost:        map[string][]*Route{},
		byKey:         map[string]*Organisation{},
		services:      map[string]*Service{},
		organisations: map[string]*Organisation{},
	}
	for i := range config.Routes {
		r := &t.config.Routes[i]
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &t.config.Services[i]
	}
	for i := range config.Organisations {
		o := &t.config.Organisations[i]
		t.organisations[o.Name] = o
		for _, key := range o.Keys {
			t.byKey[key] = o
		}
	}
	return t
}

// Version is the configuration's version.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the callers' limits.
func (t *Table) Limits() Limits { return t.config.Limits }

// Route returns the route of a host and an escaped path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HoldsKeys reports whether requests need a key at all.
func (t *Table) HoldsKeys() bool { return len(t.config.Organisations) > 0 }

// Organisation returns the organisation that holds a key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// OrganisationNamed returns an organisation by its name, or nil.
func (t *Table) OrganisationNamed(name string) *Organisation { return t.organisations[name] }

// Organisations returns all organisations.
func (t *Table) Organisations() []Organisation { return t.config.Organisations }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service of a route for one draw, which is uniform over
// the non-negative integers. It is empty for a route without services.
func (r *Route) Pick(draw uint64) string {
	total := uint64(0)
	for _, share := range r.Split {
		total += uint64(max(share.Weight, 0))
	}
	if total == 0 {
		if len(r.Split) > 0 {
			return r.Split[0].Service
		}
		return ""
	}
	draw %= total
	for _, share := range r.Split {
		weight := uint64(max(share.Weight, 0))
		if draw < weight {
			return share.Service
		}
		draw -= weight
	}
	return ""
}

// canonicalHost returns a host without its port, in lower case.
func canonicalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

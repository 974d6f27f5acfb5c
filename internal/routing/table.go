package routing

import (
	"net"
	"sort"
	"strings"
)

// Table is an indexed Config. It is safe for concurrent use.
type Table struct {
	config Config
	// routesByHost holds the routes of each host, longest prefix first.
	routesByHost       map[string][]*Route
	organisationsByKey map[string]*Organisation
	services           map[string]*Service
	organisations      map[string]*Organisation
	// organisationsMissing is set by RetainKeys.
	organisationsMissing bool
}

// NewTable indexes a configuration. It retains config, which must not be
// modified afterwards.
func NewTable(config Config) *Table {
	t := &Table{
		config:             config,
		routesByHost:       map[string][]*Route{},
		organisationsByKey: map[string]*Organisation{},
		services:           map[string]*Service{},
		organisations:      map[string]*Organisation{},
	}
	for i := range config.Routes {
		r := &t.config.Routes[i]
		host := canonicalHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &t.config.Services[i]
	}
	for i := range config.Organisations {
		o := &t.config.Organisations[i]
		t.organisations[o.Name] = o
		for _, key := range o.Keys {
			// A request without a key must not be taken for one with an empty key.
			if key != "" {
				t.organisationsByKey[key] = o
			}
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() Limits { return t.config.Limits }

// Route returns the route for a host and an escaped path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that a key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.organisationsByKey[key] }

// OrganisationByName returns the organisation with the given name, or nil.
func (t *Table) OrganisationByName(name string) *Organisation { return t.organisations[name] }

// Organisations returns all organisations.
func (t *Table) Organisations() []Organisation { return t.config.Organisations }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService selects a service of the route in proportion to the weights.
// draw must be uniform over the non-negative integers. The result is empty for
// a route without services.
func (r *Route) PickService(draw uint64) string {
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

package gateway

import (
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
)

// maxConfigAgeForDenial is the age of the configuration above which an
// unknown route or key is not denied, since it may be newer than the
// configuration. It is longer than the time between two responses of the
// platform.
const maxConfigAgeForDenial = 2500 * time.Millisecond

// resolve finds the route and the organisation, or the status and reason of a
// refusal. If the configuration may be outdated, an unknown route or key is
// not denied. confirmedAt is when the table was last known to be the newest.
func (x *exchange) resolve(table *routing.Table, confirmedAt scheduler.Instant) (int, string) {
	if table == nil {
		return http.StatusServiceUnavailable, string(scheduler.ConfigUnknown)
	}
	outdated := x.h.cfg.Now().Sub(confirmedAt) > maxConfigAgeForDenial
	x.version = table.Version()
	if x.version < x.minVersion {
		return http.StatusServiceUnavailable, reasonConfigBehind
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && headerBytes(x.r.Header) > limit {
		return http.StatusRequestHeaderFieldsTooLarge, reasonHeadersTooLarge
	}
	x.route = table.Route(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		if outdated {
			return http.StatusServiceUnavailable, string(scheduler.ConfigStale)
		}
		return http.StatusNotFound, reasonNoRoute
	}
	if x.route.Public || !table.RequiresKeys() {
		return 0, ""
	}
	if table.OrganisationsMissing() {
		// Not 401, which callers take as final: their keys may be valid again.
		return http.StatusServiceUnavailable, string(scheduler.OrganisationsMissing)
	}
	if x.org = table.Organisation(x.info.Key); x.org != nil {
		return 0, ""
	}
	if outdated {
		return http.StatusServiceUnavailable, string(scheduler.ConfigStale)
	}
	return http.StatusUnauthorized, reasonUnknownKey
}

// timeouts returns the time that the caller waits, and the shorter one of that and the
// route's timeout.
func (x *exchange) timeouts() (caller, remaining time.Duration) {
	caller = x.info.Timeout
	if caller <= 0 {
		caller = x.route.Timeout
	}
	remaining = caller
	if x.route.Timeout > 0 {
		remaining = min(remaining, x.route.Timeout)
	}
	return caller, remaining
}

// setDeadline sets the time at which the request ends.
func (x *exchange) setDeadline() {
	_, remaining := x.timeouts()
	x.deadline = x.started.Add(remaining)
}

// headerBytes returns the size of the header fields on the wire.
func headerBytes(h http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

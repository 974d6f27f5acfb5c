package attribution

import "net/http"

// PromisesNotRun reports whether callers take a status as the promise that their request
// has not run and will not.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// MayPassOn reports whether the status of an endpoint that did not state that the request
// has not run may reach the caller. A caller would send a request that may run only once
// again.
func MayPassOn(status int, repeatable bool) bool {
	return repeatable || !PromisesNotRun(status)
}

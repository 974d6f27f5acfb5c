package crash

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Cause is what may make an endpoint end: a request as a whole, or something that
// it has in common with others.
type Cause struct {
	// Service is zero for a request, which ID identifies by its fingerprint.
	// Otherwise ID is a part of the prompts of requests to the service with this
	// hash: services run different software, so that a part that is harmless at one
	// may crash the endpoints of another.
	Service uint32
	ID      uint64
}

// RequestCause returns the cause that is the request with a fingerprint.
func RequestCause(fingerprint uint64) Cause { return Cause{ID: fingerprint} }

// PartCause returns the cause that is a part of the prompts of requests to a
// service.
func PartCause(service string, part uint64) Cause {
	// The lowest bit keeps the hash from being zero.
	return Cause{Service: uint32(xxhash.Sum64String(service)) | 1, ID: part}
}

// String returns the form of the cause in the log.
func (c Cause) String() string {
	id := strconv.FormatUint(c.ID, 16)
	if c.Service != 0 {
		return "part:" + id
	}
	return "request:" + id
}

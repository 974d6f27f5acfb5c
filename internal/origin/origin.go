package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a point in time on the monotonic clock of this instance.
type Time = time.Duration

// Software identifies a version of the software of a service.
type Software uint64

// Unknown stands for software whose version is not known.
const Unknown Software = 0

// SoftwareOf returns the identity of a version of a service's software. A version
// may have any length.
func SoftwareOf(service, version string) Software { return Software(max(hash(service, version), 1)) }

// Attempt identifies an attempt of a caller.
type Attempt uint64

// AttemptOf returns the identity of an attempt from its ID and the name of the
// caller's organisation. Organisations choose their IDs independently.
func AttemptOf(organisation, id string) Attempt { return Attempt(hash(organisation, id)) }

// RunOf returns the identity of an attempt from its ID alone, as endpoints know it, which
// differs from any that AttemptOf returns for an organisation.
func RunOf(id string) Attempt { return Attempt(hash("\x00run", id)) }

func hash(a, b string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// Record says which software began an attempt's stream, or would begin it.
type Record struct {
	Attempt  Attempt
	Software Software
	// Dispatch is the number of the request's dispatch: a request that was sent to
	// another endpoint before its answer started has a later one.
	Dispatch int
	// Until is the caller's deadline, after which the stream is not taken up.
	Until Time
}

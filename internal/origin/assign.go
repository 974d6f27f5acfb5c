package origin

import "math"

// Share is the capacity, in slots, of the endpoints that run some software.
type Share struct {
	Software Software
	Slots    int
}

// Assign returns the software at which the stream of an attempt begins while a service
// runs several, in proportion to their slots, or Unknown without any. Whoever knows the
// shares comes to the same result, so that it can be repeated after the loss of all
// records. It is weighted rendezvous hashing: a change of shares reassigns the least
// number of attempts.
func Assign(a Attempt, shares []Share) Software {
	best, lowest := Unknown, math.Inf(1)
	for _, s := range shares {
		if s.Slots <= 0 {
			continue
		}
		uniform := (float64(mix(uint64(a)^mix(uint64(s.Software)))>>11) + 0.5) / (1 << 53)
		if score := -math.Log(uniform) / float64(s.Slots); score < lowest {
			best, lowest = s.Software, score
		}
	}
	return best
}

// mix is the finaliser of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Package crossing decides whether a waiting request leaves its availability zone for an
// endpoint of another one, and limits how much leaves.
//
// Decide compares the time that the request is expected to need at its own zone and at
// the best endpoint elsewhere, given the load of both, the age of these figures and the
// time that the request has left. It favours the own zone: a request stays while its own
// zone is expected to serve it in time. Limiter limits the crossings to one zone whose
// result is not known yet: instances that all see the same room elsewhere must not send
// all that they have there at once.
//
// The caller is the control state of one instance, which has the loads from the reports
// of other instances. Those that share an endpoint report each change at once, others
// report in intervals of up to some seconds. Nothing is agreed with other instances.
//
// The package does no I/O, reads no clock and draws no random numbers.
package crossing

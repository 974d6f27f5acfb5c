// Package crash keeps the evidence that requests crash the endpoints that run
// them.
//
// The evidence about a request is a set: the incarnations of endpoints that
// ended while they ran it. Instances merge their sets by union, so that they
// converge although messages are lost, repeated or reordered, and crashes that
// were seen by different instances add up. A completed run outweighs every end
// before it: a request that crashes its endpoints never completes, while a
// healthy one that was running when endpoints ended for another reason
// completes soon after.
//
// The package does no I/O and reads no clock.
package crash

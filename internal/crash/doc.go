// Package crash keeps the evidence that requests crash the endpoints that run
// them.
//
// The evidence is kept by Cause. It is a set: the incarnations of endpoints that
// ended while they ran a request with the cause. Instances merge their sets by
// union, so that they converge although messages are lost, repeated or reordered,
// and crashes that were seen by different instances add up. A sound run outweighs
// every end before it: a request that crashes its endpoints never has one, while a
// healthy one that was running when endpoints ended for another reason has one
// soon after.
//
// The package does no I/O and reads no clock.
package crash

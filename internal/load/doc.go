// Package load makes the load of many callers and checks what they get. It is
// open-loop: requests arrive when the schedule says so, however slow the
// answers are. What it sends is a pure function of the settings and a seed.
package load

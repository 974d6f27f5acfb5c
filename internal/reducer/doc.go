// Package reducer implements the control logic as a deterministic state machine.
// State.Step takes one Event at a time and returns the resulting effects as
// data; it has no clock, no I/O and no randomness of its own. The control
// goroutine owns the State and applies the effects.
package reducer

// Package reducer decides. One State takes one Event after another by Step and
// returns effects as data; it has no clock, no I/O and no randomness of its
// own. The control goroutine owns the State and carries the effects out.
package reducer

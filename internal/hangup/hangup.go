// Package hangup receives SIGHUP. Until a handler is registered, SIGHUP ends the
// process, and initialising the other packages takes most of the start. This
// package imports little and is therefore initialised before them.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// Received returns the channel on which SIGHUP is delivered.
func Received() <-chan os.Signal { return received }

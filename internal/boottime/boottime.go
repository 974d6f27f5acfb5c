// Package boottime reads CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC, it includes
// the time during which the machine is suspended, as leases require.
package boottime

import "golang.org/x/sys/unix"

// Now returns the nanoseconds since boot. It panics if the kernel does not
// provide the clock, because leases depend on it.
func Now() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return ts.Nano()
}

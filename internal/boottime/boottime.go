// Package boottime reads CLOCK_BOOTTIME, which also counts the time during
// which the machine was suspended, as leases require.
package boottime

import "golang.org/x/sys/unix"

// Now returns nanoseconds since the machine started. It panics if the kernel
// has no such clock, without which no lease could be kept.
func Now() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return ts.Nano()
}

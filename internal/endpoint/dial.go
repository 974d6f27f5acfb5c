package endpoint

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silenceProbes is the number of keep-alive probes, spread over the silence
// timeout, that go unanswered before a connection is given up.
const silenceProbes = 3

// newDialer returns a dialer whose connections end after the configured
// silence: unacknowledged bytes by TCP_USER_TIMEOUT, idle ones by keep-alive.
func newDialer(config Config) net.Dialer {
	d := net.Dialer{Timeout: config.ConnectTimeout}
	if config.SilenceTimeout == 0 {
		return d
	}
	probe := max(config.SilenceTimeout/silenceProbes, time.Second)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: silenceProbes}
	timeout := int(config.SilenceTimeout.Milliseconds())
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
		})
		if err != nil {
			return err
		}
		return failed
	}
	return d
}

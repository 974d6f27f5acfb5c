package endpoint

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes, spread over
// Config.AckTimeout, after which a connection is closed.
const keepAliveProbes = 3

// newDialer returns a dialer whose connections time out after
// Config.AckTimeout: TCP_USER_TIMEOUT covers unacknowledged data,
// keep-alive covers idle connections.
func newDialer(config Config) net.Dialer {
	d := net.Dialer{Timeout: config.ConnectTimeout}
	if config.AckTimeout == 0 {
		return d
	}
	probe := max(config.AckTimeout/keepAliveProbes, time.Second)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: keepAliveProbes}
	timeout := int(config.AckTimeout.Milliseconds())
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
	return d
}

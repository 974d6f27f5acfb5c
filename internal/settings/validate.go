package settings

import (
	"net/netip"

	"github.com/balsamstair/balsamstair/internal/strict"
)

// Bounds of the limits. They keep sums and durations from overflowing.
const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxBytes       = 1 << 34
	maxRequests    = 1_000_000
	maxTimeMS      = int64(24 * 60 * 60 * 1000)
)

func (s *Settings) validate(report *strict.Report) {
	s.checkNames(report)
	s.TLS.validate(report)
	s.Limits.validate(report)
	s.checkAddresses(report)
}

func key(name string) strict.Path { return strict.Path{Key: name} }

func (s *Settings) checkNames(report *strict.Report) {
	if s.Instance == "" {
		report.Add(key("instance"), "is missing")
	}
	if s.AvailabilityZone == "" {
		report.Add(key("availability_zone"), "is missing")
	}
}

// address is one address setting.
type address struct {
	key   string
	value string
	// tls reports whether the listener uses TLS. exposure describes what anyone
	// who can connect to it can do without TLS.
	tls      bool
	exposure string
}

func (s *Settings) checkAddresses(report *strict.Report) {
	listeners := []address{
		{"caller_address", s.CallerAddress, s.TLS.Caller(), "bearer keys and answers travel in plaintext"},
		{"peer_address", s.PeerAddress, s.TLS.Peer(), "anyone who reaches it can act as an instance"},
		{"operator_address", s.OperatorAddress, s.TLS.Operator(), "anyone who reaches it can read status and counters"},
	}
	keyByAddress := make(map[netip.AddrPort]string, len(listeners))
	for _, l := range listeners {
		a, ok := parseAddress(report, l)
		if !ok {
			continue
		}
		if other := keyByAddress[a]; other != "" && a.Port() != 0 {
			report.Add(key(l.key), "%q is also %s", l.value, other)
		}
		keyByAddress[a] = l.key
		s.checkPlaintext(report, l, a)
	}
	if a, ok := parseAddress(report, address{key: "platform_address", value: s.PlatformAddress}); ok && a.Port() == 0 {
		report.Add(key("platform_address"), "%q has no port to connect to", s.PlatformAddress)
	}
}

func parseAddress(report *strict.Report, l address) (netip.AddrPort, bool) {
	if l.value == "" {
		report.Add(key(l.key), "is missing")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(l.value)
	if err != nil {
		report.Add(key(l.key), "%q is not an IP number with a port; host names are not looked up", l.value)
		return netip.AddrPort{}, false
	}
	return a, true
}

// checkPlaintext rejects listeners without TLS on other than loopback
// addresses, or adds a warning if the operator has allowed them.
func (s *Settings) checkPlaintext(report *strict.Report, l address, a netip.AddrPort) {
	if l.tls || a.Addr().Unmap().IsLoopback() {
		return
	}
	if !s.AllowPlaintext {
		report.Add(key(l.key), "%q is not a loopback address and has no TLS; give it certificates under [tls], or set allow_plaintext = true", l.value)
		return
	}
	s.Warnings = append(s.Warnings, Warning{Key: l.key, Message: l.value + " uses plaintext: " + l.exposure})
}

// validate checks that the files of each listener are given together.
func (t *TLS) validate(report *strict.Report) {
	for _, set := range [][]namedFile{
		{{"caller_certificate_file", t.CallerCertificateFile}, {"caller_key_file", t.CallerKeyFile}},
		{{"peer_certificate_file", t.PeerCertificateFile}, {"peer_key_file", t.PeerKeyFile}, {"peer_ca_file", t.PeerCAFile}},
		{{"operator_certificate_file", t.OperatorCertificateFile}, {"operator_key_file", t.OperatorKeyFile}},
	} {
		checkFileSet(report, set)
	}
}

type namedFile struct{ key, path string }

// checkFileSet rejects a set of which only some files are given: a listener
// must not fall back to plaintext because a key is missing.
func checkFileSet(report *strict.Report, set []namedFile) {
	given := ""
	for _, f := range set {
		if f.path != "" {
			given = f.key
		}
	}
	for _, f := range set {
		if given != "" && f.path == "" {
			report.Add(key("tls."+f.key), "is missing beside %s", given)
		}
	}
}

func (l *Limits) validate(report *strict.Report) {
	for _, q := range []struct {
		key              string
		value, low, high int64
	}{
		{"header_bytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes},
		{"body_bytes", l.BodyBytes, 1, maxBytes},
		{"bodies_bytes", l.BodiesBytes, 1, maxBytes},
		{"concurrent_requests", int64(l.ConcurrentRequests), 1, maxRequests},
		{"idle_timeout_ms", l.IdleTimeoutMS, 1, maxTimeMS},
		{"kept_answer_bytes", l.KeptAnswerBytes, 0, maxBytes},
		{"kept_answer_ms", l.KeptAnswerMS, 0, maxTimeMS},
	} {
		if q.value < q.low || q.value > q.high {
			report.Add(key("limits."+q.key), "%d is not between %d and %d", q.value, q.low, q.high)
		}
	}
	if l.BodiesBytes < l.BodyBytes {
		report.Add(key("limits.bodies_bytes"), "%d does not hold one body of body_bytes (%d)", l.BodiesBytes, l.BodyBytes)
	}
}

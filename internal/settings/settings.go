// Package settings reads one process's own settings: its addresses, its
// availability zone, its certificates and its limits. Unknown keys and host
// names are errors.
package settings

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Settings are the settings of one instance. The zero value is not valid; use
// Load or Parse.
type Settings struct {
	// Instance is the name under which the platform lists the process.
	Instance         string `toml:"instance"`
	AvailabilityZone string `toml:"availability_zone"`
	// The addresses are IP numbers with ports.
	CallerAddress   string `toml:"caller_address"`
	PeerAddress     string `toml:"peer_address"`
	OperatorAddress string `toml:"operator_address"`
	PlatformAddress string `toml:"platform_address"`
	// AllowPlaintext lets listeners without TLS use addresses other than
	// loopback.
	AllowPlaintext bool   `toml:"allow_plaintext"`
	TLS            TLS    `toml:"tls"`
	Limits         Limits `toml:"limits"`

	// Warnings lists what is permitted but leaves something open.
	Warnings []Warning `toml:"-"`
}

// TLS names PEM files. A listener without files speaks plaintext.
type TLS struct {
	CallerCertificateFile   string `toml:"caller_certificate_file"`
	CallerKeyFile           string `toml:"caller_key_file"`
	PeerCertificateFile     string `toml:"peer_certificate_file"`
	PeerKeyFile             string `toml:"peer_key_file"`
	PeerCAFile              string `toml:"peer_ca_file"`
	OperatorCertificateFile string `toml:"operator_certificate_file"`
	OperatorKeyFile         string `toml:"operator_key_file"`
}

// Limits bound what callers can make the process hold.
type Limits struct {
	HeaderBytes        int   `toml:"header_bytes"`
	BodyBytes          int64 `toml:"body_bytes"`
	ConcurrentRequests int   `toml:"concurrent_requests"`
	// IdleTimeoutMS bounds the time between two reads or writes, in
	// milliseconds.
	IdleTimeoutMS int64 `toml:"idle_timeout_ms"`
	// KeptAnswerBytes bounds all answers kept for repeated requests together,
	// KeptAnswerMS the time that each is kept.
	KeptAnswerBytes int64 `toml:"kept_answer_bytes"`
	KeptAnswerMS    int64 `toml:"kept_answer_ms"`
}

// IdleTimeout returns IdleTimeoutMS as a duration.
func (l Limits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMS) * time.Millisecond
}

// KeptAnswer returns KeptAnswerMS as a duration.
func (l Limits) KeptAnswer() time.Duration {
	return time.Duration(l.KeptAnswerMS) * time.Millisecond
}

// Warning says that a setting leaves something open.
type Warning struct {
	Key     string
	Message string
}

// Defaults returns the settings that hold where a file is silent.
func Defaults() Settings {
	return Settings{Limits: Limits{
		HeaderBytes:        16 << 10,
		BodyBytes:          4 << 20,
		ConcurrentRequests: 2048,
		IdleTimeoutMS:      60_000,
		KeptAnswerBytes:    8 << 20,
		KeptAnswerMS:       60_000,
	}}
}

// Load reads and checks the settings in the file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse checks settings given as TOML.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, err
	}
	if s.Instance == "" || s.AvailabilityZone == "" {
		return Settings{}, errors.New("instance and availability_zone are needed")
	}
	for _, l := range s.listeners() {
		if err := l.check(s.AllowPlaintext); err != nil {
			return Settings{}, err
		}
	}
	return s, nil
}

type listener struct {
	key     string
	address string
	tls     bool
	listens bool
}

func (s *Settings) listeners() []listener {
	return []listener{
		{"caller_address", s.CallerAddress, s.TLS.CallerCertificateFile != "", true},
		{"peer_address", s.PeerAddress, s.TLS.PeerCertificateFile != "", true},
		{"operator_address", s.OperatorAddress, s.TLS.OperatorCertificateFile != "", true},
		{"platform_address", s.PlatformAddress, false, false},
	}
}

func (l listener) check(allowPlaintext bool) error {
	a, err := netip.ParseAddrPort(l.address)
	if err != nil {
		return errors.Newf("%s: %q is not an IP number with a port", l.key, l.address)
	}
	if l.listens && !l.tls && !allowPlaintext && !a.Addr().IsLoopback() {
		return errors.Newf("%s: without TLS it must be a loopback address, or allow_plaintext = true", l.key)
	}
	return nil
}

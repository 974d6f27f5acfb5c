// Package settings reads one process's own settings: its addresses, its
// availability zone, its certificates and its limits. Unknown keys and host
// names are errors; all errors of a file are reported together.
package settings

import (
	"os"
	"time"

	"github.com/balsamstair/balsamstair/internal/strict"
	"github.com/cockroachdb/errors"
)

// Settings are the settings of one instance. Load and Parse return them
// checked; the zero value is not valid.
type Settings struct {
	// Instance is the name under which the platform lists the process.
	Instance         string `toml:"instance"`
	AvailabilityZone string `toml:"availability_zone"`
	// The addresses are IP numbers with ports. The process listens at the
	// first three; PlatformAddress is where the platform listens.
	CallerAddress   string `toml:"caller_address"`
	PeerAddress     string `toml:"peer_address"`
	OperatorAddress string `toml:"operator_address"`
	PlatformAddress string `toml:"platform_address"`
	// AllowPlaintext lets listeners without TLS use addresses other than
	// loopback.
	AllowPlaintext bool   `toml:"allow_plaintext"`
	TLS            TLS    `toml:"tls"`
	Limits         Limits `toml:"limits"`

	// Warnings lists what is permitted but open to others. A daemon logs them
	// at its start.
	Warnings []Warning `toml:"-"`
}

// TLS names PEM files. A listener without files speaks plaintext.
type TLS struct {
	CallerCertificateFile string `toml:"caller_certificate_file"`
	CallerKeyFile         string `toml:"caller_key_file"`
	// Peers authenticate each other by certificates of PeerCAFile.
	PeerCertificateFile     string `toml:"peer_certificate_file"`
	PeerKeyFile             string `toml:"peer_key_file"`
	PeerCAFile              string `toml:"peer_ca_file"`
	OperatorCertificateFile string `toml:"operator_certificate_file"`
	OperatorKeyFile         string `toml:"operator_key_file"`
}

// Caller reports whether the caller listener speaks TLS.
func (t *TLS) Caller() bool { return t.CallerCertificateFile != "" }

// Peer reports whether peers authenticate each other by mutual TLS.
func (t *TLS) Peer() bool { return t.PeerCertificateFile != "" }

// Operator reports whether the operator listener speaks TLS.
func (t *TLS) Operator() bool { return t.OperatorCertificateFile != "" }

// Limits bound what callers can make the process hold.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int   `toml:"header_bytes"`
	BodyBytes   int64 `toml:"body_bytes"`
	// BodiesBytes bounds the bodies of all requests together.
	BodiesBytes int64 `toml:"bodies_bytes"`
	// ConcurrentRequests bounds the requests held at a time.
	ConcurrentRequests int `toml:"concurrent_requests"`
	// IdleTimeoutMS bounds the time between two reads or two writes, in
	// milliseconds.
	IdleTimeoutMS int64 `toml:"idle_timeout_ms"`
	// KeptAnswerBytes bounds all answers kept for repeated requests together,
	// KeptAnswerMS the milliseconds for which each is kept.
	KeptAnswerBytes int64 `toml:"kept_answer_bytes"`
	KeptAnswerMS    int64 `toml:"kept_answer_ms"`
}

// IdleTimeout returns IdleTimeoutMS as a duration.
func (l *Limits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMS) * time.Millisecond
}

// KeptAnswer returns KeptAnswerMS as a duration.
func (l *Limits) KeptAnswer() time.Duration {
	return time.Duration(l.KeptAnswerMS) * time.Millisecond
}

// Warning says that a setting leaves something open to others.
type Warning struct {
	Key     string
	Message string
}

// String returns the warning as one line of text.
func (w Warning) String() string { return w.Key + ": " + w.Message }

// Defaults returns the settings that hold where a file is silent.
func Defaults() Settings {
	return Settings{Limits: Limits{
		HeaderBytes:        16 << 10,
		BodyBytes:          2 << 20,
		BodiesBytes:        64 << 20,
		ConcurrentRequests: 2048,
		IdleTimeoutMS:      60_000,
		KeptAnswerBytes:    8 << 20,
		KeptAnswerMS:       60_000,
	}}
}

// Load reads and checks the settings in the file at path. What Parse refuses
// it refuses with the same *strict.Error, the path put before it.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse returns the settings that data holds, or a *strict.Error with every
// problem that it has.
func Parse(data []byte) (Settings, error) {
	const maxFileBytes = 1 << 20
	if len(data) > maxFileBytes {
		return Settings{}, &strict.Error{Problems: []strict.Problem{{Line: 1, Reason: "settings are larger than a megabyte"}}}
	}
	s := Defaults()
	report := strict.Decode(data, &s)
	if !report.Broken {
		s.validate(report)
	}
	if err := report.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

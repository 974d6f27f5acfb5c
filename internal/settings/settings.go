// Package settings reads the settings of one process: its addresses, its
// availability zone, its certificates and its limits. Unknown keys and host
// names are errors; all errors of a file are reported together.
package settings

import (
	"os"
	"time"

	"github.com/balsamstair/balsamstair/internal/strict"
	"github.com/cockroachdb/errors"
)

// Settings holds the settings of one instance. Load and Parse return validated
// settings; the zero value is not valid.
type Settings struct {
	// Instance is the name under which the platform lists the process.
	Instance         string `toml:"instance"`
	AvailabilityZone string `toml:"availability_zone"`
	// The addresses are IP addresses with ports. The process listens on the first
	// three; PlatformAddress is the address of the platform.
	CallerAddress   string `toml:"caller_address"`
	PeerAddress     string `toml:"peer_address"`
	OperatorAddress string `toml:"operator_address"`
	PlatformAddress string `toml:"platform_address"`
	// AllowPlaintext lets listeners without TLS use addresses other than
	// loopback.
	AllowPlaintext bool   `toml:"allow_plaintext"`
	TLS            TLS    `toml:"tls"`
	Limits         Limits `toml:"limits"`

	// Warnings lists settings that are permitted but expose the process to
	// others. The daemon logs them at startup.
	Warnings []Warning `toml:"-"`
}

// TLS holds the paths of PEM files. A listener without files uses plaintext.
type TLS struct {
	CallerCertificateFile string `toml:"caller_certificate_file"`
	CallerKeyFile         string `toml:"caller_key_file"`
	// Peers authenticate each other with certificates issued by the CA in
	// PeerCAFile.
	PeerCertificateFile     string `toml:"peer_certificate_file"`
	PeerKeyFile             string `toml:"peer_key_file"`
	PeerCAFile              string `toml:"peer_ca_file"`
	OperatorCertificateFile string `toml:"operator_certificate_file"`
	OperatorKeyFile         string `toml:"operator_key_file"`
}

// Caller reports whether the caller listener uses TLS.
func (t *TLS) Caller() bool { return t.CallerCertificateFile != "" }

// Peer reports whether peers authenticate each other with mutual TLS.
func (t *TLS) Peer() bool { return t.PeerCertificateFile != "" }

// Operator reports whether the operator listener uses TLS.
func (t *TLS) Operator() bool { return t.OperatorCertificateFile != "" }

// Limits holds the limits of the resources that callers can occupy.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int   `toml:"header_bytes"`
	BodyBytes   int64 `toml:"body_bytes"`
	// BodiesBytes bounds the bodies of all requests together.
	BodiesBytes int64 `toml:"bodies_bytes"`
	// ConcurrentRequests bounds the requests in the process at a time.
	ConcurrentRequests int `toml:"concurrent_requests"`
	// IdleTimeoutMS bounds the time between two reads or two writes, in
	// milliseconds.
	IdleTimeoutMS int64 `toml:"idle_timeout_ms"`
	// KeptAnswerBytes bounds the total size of the answers kept for retried
	// requests. KeptAnswerMS is how long each is kept, in milliseconds.
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

// Warning describes a setting that exposes the process to others.
type Warning struct {
	Key     string
	Message string
}

// String returns the warning as one line of text.
func (w Warning) String() string { return w.Key + ": " + w.Message }

// Defaults returns the values of settings that a file does not set.
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

// Load reads and checks the settings in the file at path. It returns the
// *strict.Error of Parse wrapped with the path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse returns the settings in data, or a *strict.Error with all of their
// problems.
func Parse(data []byte) (Settings, error) {
	const maxFileBytes = 1 << 20
	if len(data) > maxFileBytes {
		return Settings{}, &strict.Error{Problems: []strict.Problem{{Line: 1, Reason: "settings are larger than a megabyte"}}}
	}
	s := Defaults()
	report := strict.Decode(data, &s)
	if !report.Unusable {
		s.validate(report)
	}
	if err := report.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

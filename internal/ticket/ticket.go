// Package ticket issues and verifies tickets. A ticket identifies a request, so
// that its caller can send it again without running it twice. It contains the
// incarnation that issued it, which alone may dispatch the request, a sequence
// number within that incarnation and an expiry on the boot-time clock of that
// incarnation.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

const (
	version = 1

	versionBytes = 1
	bodyBytes    = versionBytes + 3*8 // the fields of Ticket
	macBytes     = 16                 // HMAC-SHA-256, truncated
	totalBytes   = bodyBytes + macBytes
	secretBytes  = 32
)

// TextLength is the length of every ticket's text form in bytes.
const TextLength = (totalBytes*8 + 5) / 6

// Errors of Parse and Verify. They contain no part of the parsed text.
var (
	// ErrMalformed means that the text is not a ticket of any incarnation.
	ErrMalformed = errors.New("ticket: malformed")
	// ErrOtherIncarnation means that the ticket names another incarnation,
	// which alone can verify it.
	ErrOtherIncarnation = errors.New("ticket: issued by another incarnation")
	// ErrForged means that the ticket names this incarnation but its
	// authentication code does not match.
	ErrForged = errors.New("ticket: authentication code does not match")
)

// encoding is strict, so that each ticket has exactly one text form.
var encoding = base64.RawURLEncoding.Strict()

// Ticket is the content of a ticket.
type Ticket struct {
	// Incarnation is the run of the process that issued the ticket.
	Incarnation uint64
	// Sequence identifies the request within the incarnation.
	Sequence uint64
	// Expires is in nanoseconds on the boot-time clock of the issuing process.
	Expires int64
}

// NewIncarnation returns a random non-zero number that identifies one run of
// one process. It panics if the system's random number generator fails.
func NewIncarnation() uint64 {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic("ticket: no random numbers: " + err.Error())
		}
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// Minter issues the tickets of one incarnation. It may be used concurrently.
type Minter struct {
	incarnation uint64
	secret      [secretBytes]byte
}

// NewMinter returns a Minter with a new random secret, which is stored nowhere
// else. It panics if the system's random number generator fails.
func NewMinter(incarnation uint64) *Minter {
	m := &Minter{incarnation: incarnation}
	if _, err := rand.Read(m.secret[:]); err != nil {
		panic("ticket: no random numbers: " + err.Error())
	}
	return m
}

// Mint returns the text form of a ticket: TextLength bytes of the URL-safe
// base64 alphabet. expires is in nanoseconds on the boot-time clock.
func (m *Minter) Mint(sequence uint64, expires int64) string {
	b := make([]byte, 0, totalBytes)
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, m.incarnation)
	b = binary.BigEndian.AppendUint64(b, sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(expires))
	b = append(b, m.mac(b)...)
	return encoding.EncodeToString(b)
}

// Verify returns the content of a ticket that this Minter issued. It does not
// check the expiry, which the caller compares with its clock. Its errors are
// ErrMalformed, ErrOtherIncarnation (with the unverified content, for
// forwarding) and ErrForged.
func (m *Minter) Verify(s string) (Ticket, error) {
	t, raw, err := decode(s)
	if err != nil {
		return Ticket{}, err
	}
	if t.Incarnation != m.incarnation {
		return t, ErrOtherIncarnation
	}
	if !hmac.Equal(m.mac(raw[:bodyBytes]), raw[bodyBytes:]) {
		return Ticket{}, ErrForged
	}
	return t, nil
}

// Parse returns the content of a ticket without verifying it. Only the
// incarnation that the ticket names can verify it. The only error is
// ErrMalformed.
func Parse(s string) (Ticket, error) {
	t, _, err := decode(s)
	return t, err
}

func (m *Minter) mac(body []byte) []byte {
	h := hmac.New(sha256.New, m.secret[:])
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func decode(s string) (Ticket, []byte, error) {
	// Checking the length first bounds the cost of decoding.
	if len(s) != TextLength {
		return Ticket{}, nil, ErrMalformed
	}
	raw, err := encoding.DecodeString(s)
	if err != nil || len(raw) != totalBytes || raw[0] != version {
		return Ticket{}, nil, ErrMalformed
	}
	t := Ticket{
		Incarnation: binary.BigEndian.Uint64(raw[1:]),
		Sequence:    binary.BigEndian.Uint64(raw[9:]),
		Expires:     int64(binary.BigEndian.Uint64(raw[17:])),
	}
	if t.Incarnation == 0 {
		return Ticket{}, nil, ErrMalformed
	}
	return t, raw, nil
}

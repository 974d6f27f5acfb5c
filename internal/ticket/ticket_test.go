package ticket

import (
	"math"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestVerifyReturnsMintedTicket(t *testing.T) {
	m := NewMinter(NewIncarnation())
	for _, want := range []Ticket{
		{m.incarnation, 0, 0},
		{m.incarnation, 1, math.MinInt64},
		{m.incarnation, math.MaxUint64, math.MaxInt64},
	} {
		s := m.Mint(want.Sequence, want.Expires)
		must.Eq(t, TextLength, len(s))
		must.Eq(t, s, url.QueryEscape(s))
		got, err := m.Verify(s)
		must.NoError(t, err)
		must.Eq(t, want, got)
		got, err = Parse(s)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
}

func TestVerifyRejectsOtherMinters(t *testing.T) {
	m := NewMinter(7)
	other := NewMinter(8)
	got, err := m.Verify(other.Mint(3, 4))
	must.ErrorIs(t, err, ErrOtherIncarnation)
	must.Eq(t, Ticket{8, 3, 4}, got)

	// A second Minter of the same incarnation has a different secret.
	_, err = m.Verify(NewMinter(7).Mint(3, 4))
	must.ErrorIs(t, err, ErrForged)
}

func TestVerifyRejectsEveryFlippedBit(t *testing.T) {
	m := NewMinter(NewIncarnation())
	s := m.Mint(12, 34)
	raw, err := encoding.DecodeString(s)
	must.NoError(t, err)
	for bit := range len(raw) * 8 {
		raw[bit/8] ^= 1 << (bit % 8)
		_, err := m.Verify(encoding.EncodeToString(raw))
		must.Error(t, err)
		raw[bit/8] ^= 1 << (bit % 8)
	}
}

func TestParseRejectsMalformed(t *testing.T) {
	good := NewMinter(5).Mint(1, 2)
	for _, s := range []string{
		"", "x", good[1:], good + "A", good + "=", good[:len(good)-1] + "\n",
		"\n" + good[1:], strings.Repeat("A", TextLength), strings.Repeat("é", TextLength/2),
		strings.Repeat("A", 1<<20),
	} {
		_, err := Parse(s)
		must.ErrorIs(t, err, ErrMalformed)
	}
}

func FuzzVerify(f *testing.F) {
	m := NewMinter(5)
	good := m.Mint(1, 2)
	f.Add(good)
	f.Add("")
	f.Add(strings.Repeat("_", TextLength))
	f.Fuzz(func(t *testing.T, s string) {
		got, err := m.Verify(s)
		if s == good {
			must.NoError(t, err)
			return
		}
		must.Error(t, err)
		if parsed, perr := Parse(s); perr == nil {
			must.NotEq(t, 0, parsed.Incarnation)
			if parsed.Incarnation != 5 {
				must.Eq(t, parsed, got)
			}
		}
	})
}

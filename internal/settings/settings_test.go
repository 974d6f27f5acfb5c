package settings

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/strict"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const validSettings = `instance = "entry-1"
availability_zone = "zone-a"
caller_address = "127.0.0.1:8080"
peer_address = "[::1]:8081"
operator_address = "127.0.0.1:8082"
platform_address = "10.0.0.1:8090"
`

func TestLoadExamples(t *testing.T) {
	for _, name := range []string{"piedmont", "kalahari"} {
		s, err := Load(filepath.Join("../../examples", name, "balsamd.toml"))
		must.NoError(t, err)
		must.Len(t, 0, s.Warnings)
		must.Eq(t, Defaults().Limits, s.Limits)
		must.Eq(t, time.Minute, s.Limits.IdleTimeout())
	}
}

func TestLoadErrorNamesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "balsamd.toml")
	_, err := Load(path)
	must.ErrorIs(t, err, os.ErrNotExist)
	must.NoError(t, os.WriteFile(path, []byte("instanse = 'a'\n"), 0o600))
	_, err = Load(path)
	must.ErrorContains(t, err, path)
	var e *strict.Error
	must.True(t, errors.As(err, &e))
}

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings + "[limits]\nbody_bytes = 1000\n"))
	must.NoError(t, err)
	must.Eq(t, 1000, s.Limits.BodyBytes)
	must.Eq(t, Defaults().Limits.HeaderBytes, s.Limits.HeaderBytes)
	must.False(t, s.TLS.Caller() || s.TLS.Peer() || s.TLS.Operator())
}

func TestParseRejectsBadSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`instance = "entry-1"`, ``, "line 1: instance: is missing"},
		{`"zone-a"`, `""`, "line 2: availability_zone: is missing"},
		{`"zone-a"`, `4`, "line 2: availability_zone: must be a string, not integer"},
		{`127.0.0.1:8080`, `localhost:8080`, `line 3: caller_address: "localhost:8080" is not an IP number with a port; host names are not looked up`},
		{`[::1]:8081`, `entry-1:8081`, `line 4: peer_address: "entry-1:8081" is not an IP number with a port; host names are not looked up`},
		{`[::1]:8081`, `127.0.0.1`, `line 4: peer_address: "127.0.0.1" is not an IP number with a port; host names are not looked up`},
		{`10.0.0.1:8090`, `platform:8090`, `line 6: platform_address: "platform:8090" is not an IP number with a port; host names are not looked up`},
		{`10.0.0.1:8090`, `10.0.0.1:0`, `line 6: platform_address: "10.0.0.1:0" has no port to connect to`},
		{`127.0.0.1:8082`, `127.0.0.1:8080`, `line 5: operator_address: "127.0.0.1:8080" is also caller_address`},
		{`127.0.0.1:8082`, `10.0.0.2:8082`, `line 5: operator_address: "10.0.0.2:8082" is not a loopback address and has no TLS; give it certificates under [tls], or set allow_plaintext = true`},
		{`caller_address`, `caller_adress`, "line 1: caller_address: is missing\nline 3: caller_adress: unknown key; known are allow_plaintext, availability_zone, caller_address, instance, limits, operator_address, peer_address, platform_address, tls"},
		{`platform_address`, "[limits]\nbody_bytes = 0\nheader_bytes = 99999999\n[tls]\npeer_key_file = 'k'\n#", "line 1: platform_address: is missing\nline 7: limits.body_bytes: 0 is not between 1 and 17179869184\nline 8: limits.header_bytes: 99999999 is not between 1024 and 1048576\nline 9: tls.peer_certificate_file: is missing beside peer_key_file\nline 9: tls.peer_ca_file: is missing beside peer_key_file"},
		{`platform_address`, "[limits]\nbodies_bytes = 7\n#", "line 1: platform_address: is missing\nline 7: limits.bodies_bytes: 7 does not hold one body of body_bytes (2097152)"},
	} {
		must.StrContains(t, validSettings, c.old)
		_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
		must.EqError(t, err, c.want)
	}
}

func TestPlaintextListenersGiveWarnings(t *testing.T) {
	exposed := strings.ReplaceAll(strings.ReplaceAll(validSettings, "127.0.0.1", "0.0.0.0"), "[::1]", "10.0.0.2")
	s, err := Parse([]byte("allow_plaintext = true\n" + exposed))
	must.NoError(t, err)
	must.Len(t, 3, s.Warnings)
	must.Eq(t, "peer_address: 10.0.0.2:8081 uses plaintext: anyone who reaches it can act as an instance", s.Warnings[1].String())
	secured := exposed + "[tls]\npeer_certificate_file = 'c'\npeer_key_file = 'k'\npeer_ca_file = 'a'\n" +
		"caller_certificate_file = 'c'\ncaller_key_file = 'k'\noperator_certificate_file = 'c'\noperator_key_file = 'k'\n"
	s, err = Parse([]byte(secured))
	must.NoError(t, err)
	must.Len(t, 0, s.Warnings)
	must.True(t, s.TLS.Caller() && s.TLS.Peer() && s.TLS.Operator())
}

func checkParse(t testing.TB, data []byte) {
	if _, err := Parse(data); err != nil {
		var e *strict.Error
		must.True(t, errors.As(err, &e))
		must.Positive(t, len(e.Problems))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(validSettings + "allow_plaintext = true\n[limits]\nbody_bytes = 1\n[tls]\npeer_ca_file = 'a'\n"))
	f.Add([]byte("limits = {body_bytes = -1}\n[tls]\n[tls]\n"))
	f.Fuzz(func(t *testing.T, data []byte) { checkParse(t, data) })
}

func TestParseOfSeededMutations(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	const rounds = 2000
	for range rounds {
		data := []byte(validSettings + "allow_plaintext = true\n[limits]\nbody_bytes = 1\n[tls]\npeer_ca_file = 'a'\n")
		at := random.IntN(len(data))
		data[at] = byte(random.IntN(128))
		cut := random.IntN(len(data))
		checkParse(t, append(data[:cut:cut], data[min(cut+random.IntN(9), len(data)):]...))
	}
}

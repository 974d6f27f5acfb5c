package declared

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func seedCorpus(t testing.TB) [][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(examples, "*", "*.toml"))
	must.NoError(t, err)
	var data [][]byte
	for _, path := range paths {
		d, err := os.ReadFile(path)
		must.NoError(t, err)
		data = append(data, d)
	}
	return append(data, []byte(organisationsFile(3)),
		[]byte("tier = [{name = 'a'}]\n[[tier]]\n[tier.x]\n"),
		[]byte("organisation.tiers.a = 1\n[[organisation]]\n[organisation.tiers]\na = 0x_1\n"),
		[]byte("revision = 1979-05-27\n\"\" = ''\n[\"tier\"]\n"),
		[]byte("manifest = true\nrevision = 1\n[[part]]\nkey = 'a'\nsha256 = ''\n"))
}

// checkParse checks what must hold for every input. An error is an *Error whose
// problems all have a line and a reason, and parsing again returns the same
// error. For an accepted file, the forecast, the differences and all spend
// rates can be computed.
func checkParse(t testing.TB, data []byte) {
	f, err := Parse(data)
	if err != nil {
		must.Nil(t, f)
		for _, p := range problemsOf(t, err) {
			must.Between(t, 1, p.Line, bytes.Count(data, []byte{'\n'})+1)
			must.NotEq(t, "", p.Reason)
		}
		_, again := Parse(data)
		must.Eq(t, err.Error(), again.Error())
		return
	}
	NewForecast(f)
	must.Len(t, 0, Diff(f, f))
	for _, z := range f.Zones() {
		for i := range f.Organisations {
			must.GreaterEq(t, 0, f.SpendRate(f.Organisations[i].Name, z))
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range seedCorpus(f) {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkParse(t, data) })
}

func FuzzAssemble(f *testing.F) {
	f.Add([]byte(fmt.Sprintf("manifest = true\nrevision = 1\n[[part]]\nkey = 'a'\nsha256 = '%064x'\n", 0)), []byte("revision = 1\n"))
	for _, s := range seedCorpus(f) {
		f.Add(s, s)
	}
	f.Fuzz(func(t *testing.T, manifest, part []byte) {
		m, err := ParseManifest(manifest)
		if err != nil {
			problemsOf(t, err)
			return
		}
		must.True(t, len(PartsToFetch(nil, m)) > 0)
		if _, err := Assemble(m, [][]byte{part}); err != nil {
			problemsOf(t, err)
		}
	})
}

// TestParseOfSeededMutations runs checkParse on mutations of the seed corpus.
// The random seed is fixed, so that every run is the same.
func TestParseOfSeededMutations(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	all := seedCorpus(t)
	const rounds = 3000
	accepted := 0
	for range rounds {
		data := mutate(random, all[random.IntN(len(all))], all[random.IntN(len(all))])
		if _, err := Parse(data); err == nil {
			accepted++
		}
		checkParse(t, data)
	}
	must.Positive(t, accepted)
}

// mutate changes data in one to three places: it replaces a byte, removes or
// repeats a range, or inserts a range of other.
func mutate(random *rand.Rand, data, other []byte) []byte {
	data = bytes.Clone(data)
	for range 1 + random.IntN(3) {
		at := random.IntN(len(data))
		to := min(at+random.IntN(60), len(data))
		switch random.IntN(4) {
		case 0:
			data[at] = byte(random.IntN(256))
		case 1:
			data = append(data[:at:at], data[to:]...)
		case 2:
			data = append(data[:to:to], data[at:]...)
		case 3:
			from := random.IntN(len(other))
			data = append(append(data[:at:at], other[from:min(from+60, len(other))]...), data[at:]...)
		}
		if len(data) == 0 {
			data = []byte{'\n'}
		}
	}
	return data
}

package declared

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const examples = "../../examples"

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(examples, name, "declared.toml"))
	must.NoError(t, err)
	return data
}

func parseExample(t testing.TB, name string) *File {
	t.Helper()
	f, err := Parse(readExample(t, name))
	must.NoError(t, err)
	return f
}

func problemsOf(t testing.TB, err error) []Problem {
	t.Helper()
	var e *Error
	must.True(t, errors.As(err, &e), must.Sprintf("%v", err))
	return e.Problems
}

func TestParseAcceptsExamples(t *testing.T) {
	for _, c := range []struct {
		name                      string
		zones, engines, services  int
		organisations, generation int
	}{
		{"piedmont", 4, 18, 4, 5, 3},
		{"kalahari", 3, 12, 3, 5, 2},
	} {
		data := readExample(t, c.name)
		f, err := Parse(data)
		must.NoError(t, err)
		must.Eq(t, Digest(sha256.Sum256(data)), f.Digest())
		must.Len(t, c.zones, f.Zones())
		must.Len(t, c.organisations, f.Organisations)
		must.Len(t, c.generation+1, f.Classes)
		kinds := map[Kind]int{}
		for _, z := range f.Zones() {
			for _, e := range f.EndpointsIn(z) {
				kinds[f.Class(e.Class).Kind]++
			}
		}
		must.Eq(t, map[Kind]int{KindEngine: c.engines, KindService: c.services}, kinds)
	}
}

// The first line of each bad example is the problem that Parse must report for
// it, and no two examples have the same problem.
func TestParseRejectsBadExamples(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(examples, "bad", "*.toml"))
	must.NoError(t, err)
	must.Greater(t, 40, len(paths))
	reasons := map[string]string{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		must.NoError(t, err)
		f, err := Parse(data)
		must.Nil(t, f, must.Sprint(path))
		problems := problemsOf(t, err)
		must.Len(t, 1, problems, must.Sprint(path))
		first, _, _ := strings.Cut(string(data), "\n")
		must.Eq(t, first, "# Refused: "+problems[0].String())
		must.Positive(t, problems[0].Line)
		must.NotEq(t, "", problems[0].Key)
		message := problems[0].Key + problems[0].Reason
		must.Eq(t, "", reasons[message], must.Sprint(path))
		reasons[message] = path
	}
}

func TestParseReportsAllProblemsInLineOrder(t *testing.T) {
	data := string(readExample(t, "piedmont"))
	for _, edit := range []struct{ old, new string }{
		{`revision = 1`, `revision = -1`},
		{`rank = 4`, `rank = 5`},
		{`slots = 16`, `slots = true`},
		{`path = "/deposits"`, `path = "/bookings"`},
		{`default_tier = "answers"`, `default_teir = "answers"`},
		{`estimates = 40`, `estimates = 90`},
	} {
		must.StrContains(t, data, edit.old)
		data = strings.Replace(data, edit.old, edit.new, 1)
	}
	_, err := Parse([]byte(data))
	problems := problemsOf(t, err)
	var keys []string
	line := 0
	for _, p := range problems {
		must.LessEq(t, p.Line, line)
		line = p.Line
		keys = append(keys, p.Key)
	}
	must.Eq(t, []string{"revision", "tier.rank", "endpoint.slots", "route.path",
		"organisation.tiers.estimates", "organisation.default_tier", "organisation.default_teir"}, keys)
	again, err := Parse([]byte(data))
	must.Nil(t, again)
	must.Eq(t, problems, problemsOf(t, err))
}

func TestParseErrorOmitsPlaintextKey(t *testing.T) {
	data := strings.Replace(string(readExample(t, "kalahari")), `key_sha256 = ["`, `key_sha256 = ["secret`, 1)
	_, err := Parse([]byte(data))
	must.ErrorContains(t, err, "entry 1 is not a SHA-256 digest")
	must.StrNotContains(t, err.Error(), "secret")
}

func TestParseRejectsTooLargeFile(t *testing.T) {
	_, err := Parse(make([]byte, MaxFileBytes+1))
	must.ErrorContains(t, err, "over the limit")
}

func TestParseRejectsSpendSumOverflow(t *testing.T) {
	var b strings.Builder
	b.WriteString(organisationsFile(0))
	for i := range 12 {
		fmt.Fprintf(&b, "[[organisation]]\nname = 'o%d'\ntiers = {t1 = 0}\ndefault_tier = 't1'\nspend_micros_per_month = 1000000000000000000\n", i)
	}
	_, err := Parse([]byte(b.String()))
	problems := problemsOf(t, err)
	must.Len(t, 1, problems)
	must.StrContains(t, problems[0].Reason, "too large to count")
}

// organisationsFile returns a file with n organisations of about 200 bytes
// each, similar to that of a large fleet.
func organisationsFile(n int) string {
	var b strings.Builder
	b.WriteString("revision = 4900\ncurrency = \"USD\"\n")
	for rank := 1; rank <= 4; rank++ {
		fmt.Fprintf(&b, "[[tier]]\nname = \"t%d\"\nrank = %d\nshare_percent = 25\ndeadline_ms = 5000\n", rank, rank)
	}
	b.WriteString("[[class]]\nname = \"c\"\nkind = \"engine\"\nprefill_tokens_per_second = 9000\ndecode_tokens_per_second = 1200\n" +
		"prefill_micros_per_mtok = 200000\ncached_micros_per_mtok = 20000\ngenerated_micros_per_mtok = 800000\n")
	for i := range 26 {
		fmt.Fprintf(&b, "[[endpoint]]\nname = \"e%d\"\nclass = \"c\"\navailability_zone = \"z%02d\"\naddress = \"10.0.0.%d:80\"\nmodels = [\"m\"]\nslots = 8\n", i, i, i+1)
	}
	for i := range n {
		fmt.Fprintf(&b, "[[organisation]]\nname = \"organisation-%d\"\nkey_sha256 = [\"%x\"]\ntiers = { t1 = 0, t3 = 0 }\ndefault_tier = \"t3\"\nspend_micros_per_month = %d\n",
			i, sha256.Sum256([]byte(fmt.Sprint("key-", i))), 1_000_000*(i+1))
	}
	return b.String()
}

func TestLookupsInLargeFile(t *testing.T) {
	const n = 4900
	data := organisationsFile(n)
	must.Between(t, MaxValueBytes*9/10, len(data), MaxValueBytes)
	f, err := Parse([]byte(data))
	must.NoError(t, err)
	for i := 0; i < n; i += 97 {
		o, ok := f.OrganisationByKey(fmt.Sprint("key-", i))
		must.True(t, ok)
		must.Eq(t, fmt.Sprint("organisation-", i), o.Name)
		must.Eq(t, o, f.Organisation(o.Name))
	}
	_, ok := f.OrganisationByKey("key-4900")
	must.False(t, ok)
}

// Parsing a file with many problems must not take much longer than parsing a
// valid one.
func TestParseReportsManyProblemsOfLargeFile(t *testing.T) {
	data := strings.ReplaceAll(organisationsFile(4900), "default_tier = \"t3\"", "default_tier = \"t4\"\ncolour = 1")
	_, err := Parse([]byte(data))
	must.Len(t, 2*4900, problemsOf(t, err))
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{49, 490, 4900} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			data := []byte(organisationsFile(n))
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkParseRefused(b *testing.B) {
	for _, n := range []int{49, 490, 4900} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			data := []byte(strings.ReplaceAll(organisationsFile(n), "default_tier =", "default_teir ="))
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := Parse(data); err == nil {
					b.Fatal("accepted")
				}
			}
		})
	}
}

func BenchmarkOrganisationByKey(b *testing.B) {
	for _, n := range []int{49, 490, 4900} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			f, err := Parse([]byte(organisationsFile(n)))
			must.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := f.OrganisationByKey("key-7"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkRetained reports the memory that one parsed file keeps.
func BenchmarkRetained(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, n := range []int{49, 490, 4900} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			data := []byte(organisationsFile(n))
			for b.Loop() {
				before := heap()
				f, err := Parse(data)
				must.NoError(b, err)
				b.ReportMetric(float64(heap()-before), "retained-bytes")
				runtime.KeepAlive(f)
			}
		})
	}
}

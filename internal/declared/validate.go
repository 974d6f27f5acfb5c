package declared

import (
	"math"
	"strings"

	"github.com/balsamstair/balsamstair/internal/strict"
)

// Limits of a declared file. They keep every sum of its values within 63 bits.
const (
	maxNameBytes   = 64
	maxRate        = 1_000_000_000              // tokens or calls per second
	maxPriceMicros = 10_000_000_000_000         // per call or per million tokens
	maxSpendMicros = 1_000_000_000_000_000_000  // per month
	maxSlots       = 1_000_000                  // concurrent requests
	maxDeadlineMS  = int64(24 * 60 * 60 * 1000) // one day
	maxPercent     = 100
)

// The arrays of tables of a declared file.
const (
	tableTier         = "tier"
	tableClass        = "class"
	tableEndpoint     = "endpoint"
	tableRoute        = "route"
	tableOrganisation = "organisation"
)

// validator checks one decoded file. Its running time grows with the file's
// length.
type validator struct {
	file   *File
	report *strict.Report

	tiers   map[string]int
	classes map[string]int
	pools   map[string]*poolSummary
}

// validate reports every problem of f that decoding does not detect.
func validate(f *File, report *strict.Report) {
	v := &validator{file: f, report: report, pools: make(map[string]*poolSummary)}
	v.checkTopLevel()
	v.checkTiers()
	v.checkClasses()
	v.checkEndpoints()
	v.checkRoutes()
	v.checkOrganisations()
	v.checkPoolShares()
	v.checkMonthlyBill()
}

// element identifies one element of an array of tables.
type element struct {
	table string
	index int
}

func (r element) key(name string) strict.Path {
	return strict.Path{Table: r.table, Index: r.index, Key: name}
}

func (v *validator) checkTopLevel() {
	if v.file.Revision == 0 {
		v.report.Add(strict.Path{Key: "revision"}, "is missing; revisions count from 1")
	}
	v.checkName(strict.Path{Key: "currency"}, v.file.Currency)
	v.checkNotEmpty(tableTier, len(v.file.Tiers))
	v.checkNotEmpty(tableClass, len(v.file.Classes))
	v.checkNotEmpty(tableEndpoint, len(v.file.Endpoints))
	v.checkNotEmpty(tableOrganisation, len(v.file.Organisations))
}

func (v *validator) checkNotEmpty(table string, n int) {
	if n == 0 {
		v.report.Add(strict.Path{Key: table}, "the file declares none")
	}
}

// checkName checks that a name can be used in headers, log lines and metrics.
func (v *validator) checkName(at strict.Path, name string) bool {
	switch {
	case name == "":
		v.report.Add(at, "is missing")
	case len(name) > maxNameBytes:
		v.report.Add(at, "has %d bytes, over the limit of %d", len(name), maxNameBytes)
	case !isPlainName(name):
		v.report.Add(at, "%q may hold only letters, digits and . _ - / :", name)
	default:
		return true
	}
	return false
}

func isPlainName(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && strings.IndexByte("._-/:", c) < 0 {
			return false
		}
	}
	return true
}

// checkNames checks the names in one array of tables and returns the index of
// the first element with each name.
func (v *validator) checkNames(table string, n int, name func(int) string) map[string]int {
	firstIndex := make(map[string]int, n)
	for i := range n {
		at := element{table, i}.key("name")
		if !v.checkName(at, name(i)) {
			continue
		}
		if earlier, ok := firstIndex[name(i)]; ok {
			v.report.Add(at, "%q is named twice, first on line %d", name(i), v.report.Line(element{table, earlier}.key("name")))
			continue
		}
		firstIndex[name(i)] = i
	}
	return firstIndex
}

// checkRange checks that low <= n <= high.
func (v *validator) checkRange(at strict.Path, n, low, high int64) bool {
	switch {
	case n < 0:
		v.report.Add(at, "%d is negative", n)
	case n == 0 && low > 0:
		v.report.Add(at, "is missing or 0; it must be at least %d", low)
	case n < low:
		v.report.Add(at, "%d is below the least value %d", n, low)
	case n > high:
		v.report.Add(at, "%d is over the limit of %d", n, high)
	default:
		return true
	}
	return false
}

func (v *validator) checkTiers() {
	tiers := v.file.Tiers
	v.tiers = v.checkNames(tableTier, len(tiers), func(i int) string { return tiers[i].Name })
	byRank := make(map[int]int, len(tiers))
	shares := 0
	for i := range tiers {
		t, r := &tiers[i], element{tableTier, i}
		v.checkRank(r, t.Rank, byRank)
		v.checkRange(r.key("deadline_ms"), t.DeadlineMS, 1, maxDeadlineMS)
		if !v.checkRange(r.key("share_percent"), int64(t.SharePercent), 0, maxPercent) {
			continue
		}
		if shares <= maxPercent && shares+t.SharePercent > maxPercent {
			v.report.Add(r.key("share_percent"), "the tiers' shares come to %d %% with this one, over 100 %%", shares+t.SharePercent)
		}
		shares += t.SharePercent
	}
	v.checkRankGaps(byRank)
}

func (v *validator) checkRank(r element, rank int, byRank map[int]int) {
	at := r.key("rank")
	if !v.checkRange(at, int64(rank), 1, math.MaxInt32) {
		return
	}
	if earlier, ok := byRank[rank]; ok {
		v.report.Add(at, "rank %d is taken by the tier on line %d", rank, v.report.Line(element{tableTier, earlier}.key("")))
		return
	}
	byRank[rank] = r.index
}

// checkRankGaps reports each tier whose rank is not 1 and for which the next
// higher rank is missing.
func (v *validator) checkRankGaps(byRank map[int]int) {
	for _, rank := range sortedKeys(byRank) {
		if _, ok := byRank[rank-1]; rank > 1 && !ok {
			v.report.Add(element{tableTier, byRank[rank]}.key("rank"), "there is no tier of rank %d; ranks run from 1 without gaps", rank-1)
		}
	}
}

func (v *validator) checkClasses() {
	classes := v.file.Classes
	v.classes = v.checkNames(tableClass, len(classes), func(i int) string { return classes[i].Name })
	for i := range classes {
		c, r := &classes[i], element{tableClass, i}
		v.checkQuantities(r, c)
		switch c.Kind {
		case KindEngine:
			v.checkEngine(r, c)
		case KindService:
			v.checkService(r, c)
		case "":
			v.report.Add(r.key("kind"), "is missing; it is %q or %q", KindEngine, KindService)
		default:
			v.report.Add(r.key("kind"), "%q is neither %q nor %q", c.Kind, KindEngine, KindService)
		}
	}
}

// quantity is one number of a class with its key.
type quantity struct {
	key   string
	value int64
}

func engineRates(c *Class) []quantity {
	return []quantity{
		{"prefill_tokens_per_second", c.PrefillTokensPerSecond},
		{"decode_tokens_per_second", c.DecodeTokensPerSecond},
	}
}

func enginePrices(c *Class) []quantity {
	return []quantity{
		{"prefill_micros_per_mtok", c.PrefillMicrosPerMTok},
		{"cached_micros_per_mtok", c.CachedMicrosPerMTok},
		{"generated_micros_per_mtok", c.GeneratedMicrosPerMTok},
	}
}

func (v *validator) checkQuantities(r element, c *Class) {
	rates := append(engineRates(c), quantity{"calls_per_second", c.CallsPerSecond},
		quantity{"cached_tokens_per_second", c.CachedTokensPerSecond})
	for _, q := range rates {
		v.checkRange(r.key(q.key), q.value, 0, maxRate)
	}
	for _, q := range append(enginePrices(c), quantity{"call_micros", c.CallMicros}) {
		v.checkRange(r.key(q.key), q.value, 0, maxPriceMicros)
	}
}

func (v *validator) checkEngine(r element, c *Class) {
	for _, q := range engineRates(c) {
		if q.value == 0 {
			v.report.Add(r.key(q.key), "is missing; an engine needs its rates")
		}
	}
	v.checkAbsent(r, "an engine", quantity{"calls_per_second", c.CallsPerSecond}, quantity{"call_micros", c.CallMicros})
	if c.CachedMicrosPerMTok > c.PrefillMicrosPerMTok {
		v.report.Add(r.key("cached_micros_per_mtok"), "a cached token costs more (%d) than one that is not (%d)", c.CachedMicrosPerMTok, c.PrefillMicrosPerMTok)
	}
}

func (v *validator) checkService(r element, c *Class) {
	if c.CallsPerSecond == 0 {
		v.report.Add(r.key("calls_per_second"), "is missing; a service needs its rate")
	}
	v.checkAbsent(r, "a service", engineRates(c)...)
	v.checkAbsent(r, "a service", quantity{"cached_tokens_per_second", c.CachedTokensPerSecond})
	v.checkAbsent(r, "a service", enginePrices(c)...)
}

func (v *validator) checkAbsent(r element, kind string, quantities ...quantity) {
	for _, q := range quantities {
		if q.value != 0 {
			v.report.Add(r.key(q.key), "has no meaning for %s", kind)
		}
	}
}

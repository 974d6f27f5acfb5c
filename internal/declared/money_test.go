package declared

import (
	"encoding/json"
	"fmt"
	"math"
	"math/big"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestPriceOfCachedTokens(t *testing.T) {
	c := &Class{Kind: KindEngine, PrefillMicrosPerMTok: 200_000, CachedMicrosPerMTok: 20_000, GeneratedMicrosPerMTok: 800_000}
	for _, k := range []struct {
		prompt, cached, output int
		want                   int64
	}{
		{1_000_000, 0, 0, 200_000},
		{1_000_000, 1_000_000, 0, 20_000},
		{1_000_000, 500_000, 1_000_000, 910_000},
		{1, 0, 0, 1}, // 0.2, rounded up
		{0, 0, 0, 0},
		{10, 50, 0, 1},    // cached tokens are limited to the prompt
		{-5, -5, -5, 0},   // negative estimates cost nothing
		{10, -5, 0, 2},    // a negative count of cached tokens is 0
		{1000, 0, 0, 200}, // exact
	} {
		must.Eq(t, k.want, c.Price(k.prompt, k.cached, k.output), must.Sprintf("%+v", k))
	}
	service := &Class{Kind: KindService, CallMicros: 70}
	must.Eq(t, 70, service.Price(1000, 0, 1000))
	maxPrice := &Class{Kind: KindEngine, PrefillMicrosPerMTok: maxPriceMicros, GeneratedMicrosPerMTok: maxPriceMicros}
	must.Eq(t, math.MaxInt64, maxPrice.Price(math.MaxInt, 0, math.MaxInt))
}

func TestPriceIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Class{
			Kind:                   KindEngine,
			PrefillMicrosPerMTok:   rapid.Int64Range(0, maxPriceMicros).Draw(t, "prefill"),
			CachedMicrosPerMTok:    rapid.Int64Range(0, maxPriceMicros).Draw(t, "cached price"),
			GeneratedMicrosPerMTok: rapid.Int64Range(0, maxPriceMicros).Draw(t, "generated"),
		}
		prompt := rapid.IntRange(0, math.MaxInt).Draw(t, "prompt")
		cached := rapid.IntRange(0, prompt).Draw(t, "cached")
		output := rapid.IntRange(0, math.MaxInt).Draw(t, "output")
		product := func(a int, b int64) *big.Int { return new(big.Int).Mul(big.NewInt(int64(a)), big.NewInt(b)) }
		sum := product(prompt-cached, c.PrefillMicrosPerMTok)
		sum.Add(sum, product(cached, c.CachedMicrosPerMTok))
		sum.Add(sum, product(output, c.GeneratedMicrosPerMTok))
		sum.Add(sum, big.NewInt(tokensPerPrice-1))
		sum.Quo(sum, big.NewInt(tokensPerPrice))
		want := int64(math.MaxInt64)
		if sum.IsInt64() {
			want = sum.Int64()
		}
		must.Eq(t, want, c.Price(prompt, cached, output))
	})
}

func TestZoneSpendRatesSumToAtMostDeclaredSpend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &File{Organisations: []Organisation{{Name: "o", SpendMicrosPerMonth: rapid.Int64Range(1, maxSpendMicros).Draw(t, "spend")}}}
		free := rapid.Bool().Draw(t, "free of charge")
		for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
			c := Class{Name: fmt.Sprint(i), Kind: KindService, CallsPerSecond: rapid.Int64Range(1, 1e6).Draw(t, "rate")}
			if !free {
				c.CallMicros = rapid.Int64Range(1, 1e6).Draw(t, "price")
			}
			f.Classes = append(f.Classes, c)
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "endpoints") {
			f.Endpoints = append(f.Endpoints, Endpoint{
				Name:             fmt.Sprint(i),
				Class:            f.Classes[i%len(f.Classes)].Name,
				AvailabilityZone: fmt.Sprint(rapid.IntRange(0, 25).Draw(t, "zone")),
				Slots:            rapid.IntRange(1, maxSlots).Draw(t, "slots"),
				Leaving:          i > 0 && rapid.Bool().Draw(t, "leaving"),
			})
		}
		f = Indexed(*f)
		total := f.Organisations[0].SpendMicrosPerMonth
		month, rates := int64(0), new(big.Rat)
		for _, z := range f.Zones() {
			month += f.SpendInZone("o", z)
			rates.Add(rates, new(big.Rat).SetFloat64(f.SpendRate("o", z)))
		}
		must.LessEq(t, total, month)
		must.Greater(t, total-int64(len(f.Zones()))-1, month)
		must.LessEq(t, 0, rates.Cmp(new(big.Rat).SetFrac64(total, monthSeconds)))
	})
}

// TestZoneSpendWithSaturatedWeights uses endpoints whose costs add up to more
// than an int64 can hold.
func TestZoneSpendWithSaturatedWeights(t *testing.T) {
	f := &File{Organisations: []Organisation{{Name: "o", SpendMicrosPerMonth: 4}}}
	f.Classes = []Class{{Name: "c", Kind: KindService, CallsPerSecond: 1e6, CallMicros: 1e6}}
	for i := range 10 {
		f.Endpoints = append(f.Endpoints, Endpoint{Name: fmt.Sprint(i), Class: "c", AvailabilityZone: fmt.Sprint(i % 5), Slots: 1})
	}
	f = Indexed(*f)
	month := int64(0)
	for _, z := range f.Zones() {
		month += f.SpendInZone("o", z)
	}
	must.LessEq(t, 4, month)
}

func TestZoneSpendIsProportionalToCapacity(t *testing.T) {
	f := parseExample(t, "piedmont")
	must.Greater(t, f.SpendRate("cooperative-desk", "piedmont-c"), f.SpendRate("cooperative-desk", "piedmont-a"))
	must.Eq(t, 0, f.SpendRate("cooperative-desk", "elsewhere"))
	must.Eq(t, 0, f.SpendRate("nobody", "piedmont-a"))
	f.Organisation("cooperative-desk").SpendMicrosPerMonth = 0
	must.True(t, math.IsInf(f.SpendRate("cooperative-desk", "piedmont-a"), 1))
}

// forecastFile returns a file with one engine that costs at most 10 (prefill) +
// 5 (cached) + 20 (decode) currency units per second, and one service endpoint
// that costs at most 1.
func forecastFile() *File {
	return &File{
		Currency: "USD",
		Tiers:    []Tier{{Name: "high", Rank: 1}, {Name: "low", Rank: 2}},
		Classes: []Class{
			{Name: "engine", Kind: KindEngine, PrefillTokensPerSecond: 1_000_000, PrefillMicrosPerMTok: 10_000_000,
				CachedTokensPerSecond: 5_000_000, CachedMicrosPerMTok: 1_000_000,
				DecodeTokensPerSecond: 1_000_000, GeneratedMicrosPerMTok: 20_000_000},
			{Name: "service", Kind: KindService, CallsPerSecond: 10, CallMicros: 100_000},
		},
		Endpoints: []Endpoint{
			{Name: "e", Class: "engine", AvailabilityZone: "a", Slots: 1},
			{Name: "s", Class: "service", AvailabilityZone: "b", Slots: 1},
			{Name: "gone", Class: "engine", AvailabilityZone: "b", Slots: 1, Leaving: true},
		},
		Organisations: []Organisation{
			{Name: "small", Tiers: map[string]int{"high": 0}, SpendMicrosPerMonth: 3_000_000},
			{Name: "large", Tiers: map[string]int{"high": 0, "low": 50}, SpendMicrosPerMonth: 900_000_000 * microsPerUnit},
		},
	}
}

func TestForecastIsMinimumOfSpendAndCapacity(t *testing.T) {
	engine := Amount(35 * monthSeconds * microsPerUnit)
	service := Amount(1 * monthSeconds * microsPerUnit)
	fc := NewForecast(forecastFile())
	must.Eq(t, Bill{"total", 0, engine + service, LimitCapacity}, fc.Total)
	must.Eq(t, []Bill{
		{"small", 0, 3_000_000, LimitSpend},
		{"large", 0, engine + service, LimitCapacity},
	}, fc.Organisations)
	must.Eq(t, []Bill{
		{"high", 0, engine + service, LimitCapacity},
		{"low", 0, engine + service, LimitCapacity},
	}, fc.Tiers)
	must.Eq(t, []Bill{
		{"engine", 0, engine, LimitCapacity},
		{"service", 0, service, LimitCapacity},
	}, fc.Classes)
}

func TestForecastReportsUnboundedBills(t *testing.T) {
	f := forecastFile()
	f.Classes[0].CachedTokensPerSecond = 0
	fc := NewForecast(f)
	must.Eq(t, LimitSpend, fc.Total.Limit)
	must.Eq(t, LimitSpend, fc.Classes[0].Limit)
	must.Eq(t, LimitCapacity, fc.Classes[1].Limit)
	f.Organisations[1].SpendMicrosPerMonth = 0
	fc = NewForecast(f)
	must.Eq(t, Bill{"total", 0, Unbounded, LimitNone}, fc.Total)
	must.Eq(t, LimitSpend, fc.Organisations[0].Limit)
	must.Eq(t, LimitNone, fc.Organisations[1].Limit)
	must.Eq(t, LimitCapacity, fc.Classes[1].Limit)
	data, err := json.Marshal(fc.Total)
	must.NoError(t, err)
	must.Eq(t, `{"name":"total","lowest_micros":0,"highest_micros":null,"limit":"none"}`, string(data))
	var back Bill
	must.NoError(t, json.Unmarshal(data, &back))
	must.Eq(t, fc.Total, back)
}

func TestAmountIsRoundedUpToCents(t *testing.T) {
	for amount, want := range map[Amount]string{
		0: "0.00", 1: "0.01", 10_000: "0.01", 10_001: "0.02", 1_990_000: "1.99", 1_990_001: "2.00",
		Unbounded: "unbounded", Unbounded - 1: "9223372036854.78",
	} {
		must.Eq(t, want, amount.String())
	}
}

func BenchmarkForecast(b *testing.B) {
	f, err := Parse([]byte(organisationsFile(4900)))
	must.NoError(b, err)
	for b.Loop() {
		NewForecast(f)
	}
}

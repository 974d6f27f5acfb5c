package declared

import (
	"math"
	"math/bits"
	"time"
)

const (
	monthSeconds   = int64(Month / time.Second)
	tokensPerPrice = 1_000_000
)

// Price returns the cost of one request at an endpoint of class c, in
// millionths of the currency, rounded up. prompt counts all prompt tokens, of
// which cached were read from the prefix cache. A service call has a fixed
// price, whatever the tokens.
func (c *Class) Price(prompt, cached, output int) int64 {
	if c.Kind == KindService {
		return c.CallMicros
	}
	prompt, output = max(prompt, 0), max(output, 0)
	cached = min(max(cached, 0), prompt)
	return c.tokenPrice(int64(prompt-cached), int64(cached), int64(output))
}

// tokenPrice returns the price of the given tokens of each kind, rounded up, at
// most math.MaxInt64.
func (c *Class) tokenPrice(prefill, cached, generated int64) int64 {
	var sum uint128
	sum.addProduct(prefill, c.PrefillMicrosPerMTok)
	sum.addProduct(cached, c.CachedMicrosPerMTok)
	sum.addProduct(generated, c.GeneratedMicrosPerMTok)
	sum.add(tokensPerPrice - 1)
	return sum.divide(tokensPerPrice)
}

// maxMonthlyMicros returns the highest cost of one endpoint of class c in a
// month, with all rates fully used at the same time for the whole month. Cached
// tokens are counted only if includeCached is set.
func (c *Class) maxMonthlyMicros(includeCached bool) int64 {
	if c.Kind == KindService {
		return saturatingProduct(c.CallsPerSecond*monthSeconds, c.CallMicros)
	}
	cachedRate := int64(0)
	if includeCached {
		if c.cachedUnbounded() {
			return math.MaxInt64
		}
		cachedRate = c.CachedTokensPerSecond
	}
	return c.tokenPrice(c.PrefillTokensPerSecond*monthSeconds, cachedRate*monthSeconds, c.DecodeTokensPerSecond*monthSeconds)
}

// cachedUnbounded reports whether cached tokens have a price and no rate limit.
func (c *Class) cachedUnbounded() bool {
	return c.CachedMicrosPerMTok > 0 && c.CachedTokensPerSecond == 0
}

// uint128 is an unsigned 128-bit integer.
type uint128 struct{ hi, lo uint64 }

// addProduct adds a×b; neither may be negative.
func (w *uint128) addProduct(a, b int64) {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	var carry uint64
	w.lo, carry = bits.Add64(w.lo, lo, 0)
	w.hi, _ = bits.Add64(w.hi, hi, carry)
}

func (w *uint128) add(n uint64) {
	var carry uint64
	w.lo, carry = bits.Add64(w.lo, n, 0)
	w.hi += carry
}

// divide returns w/d rounded down, at most math.MaxInt64.
func (w uint128) divide(d uint64) int64 {
	if w.hi >= d {
		return math.MaxInt64
	}
	q, _ := bits.Div64(w.hi, w.lo, d)
	return int64(min(q, math.MaxInt64))
}

// saturatingProduct returns a×b, at most math.MaxInt64; neither may be
// negative.
func saturatingProduct(a, b int64) int64 {
	var w uint128
	w.addProduct(a, b)
	return w.divide(1)
}

// saturatingSum returns a+b, at most math.MaxInt64; neither may be negative.
func saturatingSum(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

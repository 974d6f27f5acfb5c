package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/standin"
)

// Lengths draws lengths in tokens from a bounded Pareto distribution.
type Lengths struct {
	Min, Max int
	// Alpha is the tail's exponent; a smaller one makes long requests more
	// frequent.
	Alpha float64
}

// draw returns a length for a point between 0 and 1.
func (l Lengths) draw(point float64) int {
	if l.Max <= l.Min {
		return l.Min
	}
	low := math.Pow(float64(l.Min), l.Alpha)
	high := math.Pow(float64(l.Max), l.Alpha)
	x := math.Pow((high-point*(high-low))/(high*low), -1/l.Alpha)
	return min(max(int(x), l.Min), l.Max)
}

// Settings describe a load.
type Settings struct {
	// RequestsPerSecond is the mean rate of arrivals, which are independent
	// of each other.
	RequestsPerSecond float64
	// Duration is for how long requests arrive.
	Duration time.Duration
	Prompt   Lengths
	Output   Lengths
	// SharedPercent of the requests begin with one of SharedPrefixes texts of
	// PrefixTokens.
	SharedPercent  float64
	SharedPrefixes int
	PrefixTokens   int
	Seed           uint64
}

// DefaultSettings returns a small load whose lengths differ a hundredfold.
func DefaultSettings() Settings {
	return Settings{
		RequestsPerSecond: 5,
		Duration:          30 * time.Second,
		Prompt:            Lengths{Min: 40, Max: 4000, Alpha: 1.1},
		Output:            Lengths{Min: 8, Max: 800, Alpha: 1.3},
		SharedPercent:     50,
		SharedPrefixes:    8,
		PrefixTokens:      512,
		Seed:              1,
	}
}

// Request is one planned request.
type Request struct {
	// At is the time of arrival from the start of the load.
	At           time.Duration
	Organisation string
	Key          string
	Tier         string
	// Deadline is zero where the tier has none.
	Deadline time.Duration
	Chat     standin.ChatRequest
}

// Schedule draws requests one after another.
type Schedule struct {
	settings Settings
	mix      *Mix
	random   *rand.Rand
	at       time.Duration
	number   int
}

// NewSchedule returns the schedule of a load.
func NewSchedule(settings Settings, mix *Mix) *Schedule {
	return &Schedule{settings: settings, mix: mix, random: rand.New(rand.NewPCG(settings.Seed, 0))}
}

// Next returns the next request. It reports false when the load is over.
func (s *Schedule) Next() (Request, bool) {
	s.at += time.Duration(s.random.ExpFloat64() / s.settings.RequestsPerSecond * float64(time.Second))
	if s.at >= s.settings.Duration {
		return Request{}, false
	}
	s.number++
	from := s.mix.pick(s.random.Float64())
	return Request{
		At: s.at, Organisation: from.organisation, Key: from.key, Tier: from.tier, Deadline: from.deadline,
		Chat: standin.ChatRequest{
			Model:     s.mix.models[s.random.IntN(len(s.mix.models))],
			Messages:  []standin.Message{{Role: "user", Content: s.prompt()}},
			MaxTokens: s.settings.Output.draw(s.random.Float64()),
			Stream:    true,
			User:      fmt.Sprintf("load-%d-%d", s.settings.Seed, s.number),
		},
	}, true
}

// prompt returns a text that begins as others do and goes on as none does.
func (s *Schedule) prompt() string {
	var b strings.Builder
	tokens := s.settings.Prompt.draw(s.random.Float64())
	if s.random.Float64()*100 < s.settings.SharedPercent {
		prefix := s.random.IntN(max(1, s.settings.SharedPrefixes))
		fill(&b, fmt.Sprintf("shared text %d. ", prefix), s.settings.PrefixTokens)
	}
	own := fmt.Sprintf("request %d of seed %d. ", s.number, s.settings.Seed)
	fill(&b, own, b.Len()/standin.BytesPerToken+tokens)
	return b.String()
}

// fill repeats a text up to a length in tokens.
func fill(b *strings.Builder, text string, tokens int) {
	for left := tokens*standin.BytesPerToken - b.Len(); left > 0; left = tokens*standin.BytesPerToken - b.Len() {
		b.WriteString(text[:min(len(text), left)])
	}
}

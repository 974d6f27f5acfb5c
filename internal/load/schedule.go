package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/standin"
)

// Lengths is a bounded Pareto distribution of lengths in tokens.
type Lengths struct {
	Min, Max int
	// Alpha is the exponent of the tail. A smaller one makes long requests more
	// frequent.
	Alpha float64
}

// draw returns the length at a quantile between 0 and 1.
func (l Lengths) draw(point float64) int {
	if l.Max <= l.Min {
		return l.Min
	}
	low := math.Pow(float64(l.Min), l.Alpha)
	high := math.Pow(float64(l.Max), l.Alpha)
	x := math.Pow((high-point*(high-low))/(high*low), -1/l.Alpha)
	return min(max(int(x), l.Min), l.Max)
}

// Settings configure a load.
type Settings struct {
	// RequestsPerSecond is the mean rate of arrivals, which form a Poisson
	// process.
	RequestsPerSecond float64
	// Duration is how long requests arrive.
	Duration time.Duration
	Prompt   Lengths
	Output   Lengths
	// SharedPercent of the requests begin with one of SharedPrefixes texts of
	// PrefixTokens tokens.
	SharedPercent  float64
	SharedPrefixes int
	PrefixTokens   int
	Seed           uint64
}

// DefaultSettings returns a small load whose lengths vary by a factor of 100.
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

// Request is one scheduled request.
type Request struct {
	// At is the time of arrival after the start of the load.
	At           time.Duration
	Organisation string
	Key          string
	Tier         string
	// Deadline is zero if the tier has none.
	Deadline time.Duration
	Chat     standin.ChatRequest
}

// Schedule generates the requests of a load in order of arrival.
type Schedule struct {
	settings    Settings
	mix         *Mix
	random      *rand.Rand
	lastArrival time.Duration
	number      int
}

// NewSchedule returns the schedule of a load.
func NewSchedule(settings Settings, mix *Mix) *Schedule {
	return &Schedule{settings: settings, mix: mix, random: rand.New(rand.NewPCG(settings.Seed, 0))}
}

// Next returns the next request. It returns false at the end of the load.
func (s *Schedule) Next() (Request, bool) {
	s.lastArrival += time.Duration(s.random.ExpFloat64() / s.settings.RequestsPerSecond * float64(time.Second))
	if s.lastArrival >= s.settings.Duration {
		return Request{}, false
	}
	s.number++
	sender := s.mix.senderAt(s.random.Float64())
	return Request{
		At: s.lastArrival, Organisation: sender.organisation, Key: sender.key, Tier: sender.tier, Deadline: sender.deadline,
		Chat: standin.ChatRequest{
			Model:     s.mix.models[s.random.IntN(len(s.mix.models))],
			Messages:  []standin.Message{{Role: "user", Content: s.prompt()}},
			MaxTokens: s.settings.Output.draw(s.random.Float64()),
			Stream:    true,
			User:      fmt.Sprintf("load-%d-%d", s.settings.Seed, s.number),
		},
	}, true
}

// prompt returns a unique text, which may begin with a shared prefix.
func (s *Schedule) prompt() string {
	var b strings.Builder
	tokens := s.settings.Prompt.draw(s.random.Float64())
	if s.random.Float64()*100 < s.settings.SharedPercent {
		prefix := s.random.IntN(max(1, s.settings.SharedPrefixes))
		padTo(&b, fmt.Sprintf("shared text %d. ", prefix), s.settings.PrefixTokens)
	}
	unique := fmt.Sprintf("request %d of seed %d. ", s.number, s.settings.Seed)
	padTo(&b, unique, b.Len()/standin.BytesPerToken+tokens)
	return b.String()
}

// padTo appends repetitions of a text up to a total length in tokens.
func padTo(b *strings.Builder, text string, tokens int) {
	for remaining := tokens*standin.BytesPerToken - b.Len(); remaining > 0; remaining = tokens*standin.BytesPerToken - b.Len() {
		b.WriteString(text[:min(len(text), remaining)])
	}
}

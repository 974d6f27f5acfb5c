package standin

import "time"

// EngineSettings describe one engine. The zero value of a field takes the
// default of DefaultEngineSettings.
type EngineSettings struct {
	// Name is how the record names the engine.
	Name string
	// Models are those loaded at the start. An empty list serves any model.
	Models []string
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64
	// DecodeStep is the time of one decode step of an empty batch, and
	// DecodeStepPerRequest what each request of the batch adds to it. A step
	// gives each decoding request one token.
	DecodeStep           time.Duration
	DecodeStepPerRequest time.Duration
	// PrefillChunkTokens bounds the prompt tokens that one step reads beside
	// the decoding.
	PrefillChunkTokens int
	// MaxBatch bounds the requests that share a step; the others wait in the
	// order in which they came.
	MaxBatch int
	// CacheTokens is the memory of the prefix cache.
	CacheTokens int
	// DisconnectGrace is how long an answer that nobody reads goes on.
	DisconnectGrace time.Duration
	// ChecksFencing says whether an order with an old number is refused.
	ChecksFencing bool
	// Seed makes the losses of cache events repeatable.
	Seed uint64
	// Faults are those in force at the start.
	Faults EngineFaults
}

// DefaultEngineSettings returns the settings of a small engine.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		Name:                   "engine",
		PrefillTokensPerSecond: 8000,
		DecodeStep:             15 * time.Millisecond,
		DecodeStepPerRequest:   time.Millisecond,
		PrefillChunkTokens:     512,
		MaxBatch:               256,
		CacheTokens:            64 << 10,
		DisconnectGrace:        5 * time.Second,
		Seed:                   1,
		Faults:                 EngineFaults{LoadLagMS: 500, CacheEventLagMS: 500, RestartMS: 2000},
	}
}

func (s EngineSettings) withDefaults() EngineSettings {
	d := DefaultEngineSettings()
	setDefault(&s.Name, d.Name)
	setDefault(&s.PrefillTokensPerSecond, d.PrefillTokensPerSecond)
	setDefault(&s.DecodeStep, d.DecodeStep)
	setDefault(&s.DecodeStepPerRequest, d.DecodeStepPerRequest)
	setDefault(&s.PrefillChunkTokens, d.PrefillChunkTokens)
	setDefault(&s.MaxBatch, d.MaxBatch)
	setDefault(&s.CacheTokens, d.CacheTokens)
	setDefault(&s.DisconnectGrace, d.DisconnectGrace)
	setDefault(&s.Seed, d.Seed)
	setDefault(&s.Faults, d.Faults)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

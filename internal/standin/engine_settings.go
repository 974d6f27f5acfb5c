package standin

import "time"

// EngineSettings configure one engine. A zero field takes its value from
// DefaultEngineSettings.
type EngineSettings struct {
	// Name identifies the engine in the record.
	Name string
	// Models are loaded at the start. An empty list serves any model.
	Models []string
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64
	// DecodeStep is the duration of one decode step of an empty batch.
	// DecodeStepPerRequest is added for each decoding request of the batch. A
	// step generates one token for each decoding request.
	DecodeStep           time.Duration
	DecodeStepPerRequest time.Duration
	// PrefillChunkTokens limits the prompt tokens that one step reads in
	// addition to decoding.
	PrefillChunkTokens int
	// MaxBatch limits the requests in one step. The others wait in order of
	// arrival.
	MaxBatch int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// DisconnectGrace is how long generation continues without a reader.
	DisconnectGrace time.Duration
	// ChecksFencing rejects orders with an older fencing number.
	ChecksFencing bool
	// Seed determines which cache events are lost and which requests get the
	// answer of another request.
	Seed uint64
	// Faults are the faults that are set at the start.
	Faults EngineFaults
}

// DefaultEngineSettings returns settings for a small engine.
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

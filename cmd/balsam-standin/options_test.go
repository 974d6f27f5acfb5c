package main

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/standin"
)

func TestInvalidOptionsAreRejected(t *testing.T) {
	for _, args := range [][]string{
		nil, {"-engine", "127.0.0.1:0", "more"}, {"-declared", "x", "-engine", "127.0.0.1:0"}, {"-engin"},
	} {
		_, err := parseOptions(args, io.Discard)
		must.Error(t, err, must.Sprint(args))
	}
}

func TestServerSpecsOfEachOption(t *testing.T) {
	o, err := parseOptions([]string{
		"-control", "127.0.0.1:1", "-platform", "127.0.0.1:2", "-engine", "127.0.0.1:3",
		"-engine", "127.0.0.1:4", "-service", "127.0.0.1:5", "-models", "a,b", "-seed", "7",
	}, io.Discard)
	must.NoError(t, err)
	must.Eq(t, []string{"a", "b"}, o.engine.Models)
	specs, err := serverSpecs(o, standin.NewRecorder())
	must.NoError(t, err)
	var kinds []string
	for _, s := range specs {
		kinds = append(kinds, s.kind+" "+s.address)
	}
	must.Eq(t, []string{
		"control 127.0.0.1:1", "platform 127.0.0.1:2",
		"engine 127.0.0.1:3", "engine 127.0.0.1:4", "service 127.0.0.1:5",
	}, kinds)
}

func TestServerSpecsOfADeclaredFile(t *testing.T) {
	for name, want := range map[string]map[string]int{
		"piedmont": {"engine": 18, "service": 4},
		"kalahari": {"engine": 12, "service": 3},
	} {
		o, err := parseOptions([]string{"-from-declared", "../../examples/" + name + "/declared.toml"}, io.Discard)
		must.NoError(t, err)
		specs, err := serverSpecs(o, standin.NewRecorder())
		must.NoError(t, err)
		kinds := map[string]int{}
		for _, s := range specs {
			kinds[s.kind]++
		}
		must.Eq(t, want, kinds)
	}
	o, err := parseOptions([]string{"-from-declared", "nowhere.toml"}, io.Discard)
	must.NoError(t, err)
	_, err = serverSpecs(o, standin.NewRecorder())
	must.Error(t, err)
}

func TestEngineSettingsForClass(t *testing.T) {
	class := &declared.Class{PrefillTokensPerSecond: 9000, DecodeTokensPerSecond: 1000, ChecksFencing: true}
	endpoint := declared.Endpoint{Models: []string{"m"}, Slots: 20}
	s := engineSettingsForClass(standin.DefaultEngineSettings(), class, endpoint)
	full := s.DecodeStep + 20*s.DecodeStepPerRequest
	must.Eq(t, 20*time.Millisecond, full) // 20 tokens per 20 ms are 1000 per second
	must.Eq(t, 9000, s.PrefillTokensPerSecond)
	must.Eq(t, []string{"m"}, s.Models)
	must.True(t, s.ChecksFencing)
}

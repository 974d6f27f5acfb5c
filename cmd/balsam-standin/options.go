package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// options are the flags of the program.
type options struct {
	platform     string
	declared     string
	instances    string
	fromDeclared string
	control      string
	engines      addresses
	services     addresses
	models       string
	bodyBytes    int
	engine       standin.EngineSettings
	service      standin.ServiceSettings
}

// addresses is a flag that may be given several times.
type addresses []string

func (a *addresses) String() string { return strings.Join(*a, ",") }

func (a *addresses) Set(address string) error {
	*a = append(*a, address)
	return nil
}

// parseOptions reads the flags. Errors are printed to out with the usage.
func parseOptions(args []string, out io.Writer) (*options, error) {
	o := &options{
		engine:  standin.DefaultEngineSettings(),
		service: standin.DefaultServiceSettings(),
	}
	flags := flag.NewFlagSet("balsam-standin", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() { printUsage(flags) }
	o.register(flags)
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if err := o.check(flags); err != nil {
		fmt.Fprintln(out, err)
		printUsage(flags)
		return nil, err
	}
	if o.models != "" {
		o.engine.Models = strings.Split(o.models, ",")
	}
	return o, nil
}

func (o *options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.platform, "platform", "", "serve a platform at `address`")
	flags.StringVar(&o.declared, "declared", "", "publish the `file` under the key declared")
	flags.StringVar(&o.instances, "instances", "", "publish the JSON `file` as the instance list")
	flags.StringVar(&o.fromDeclared, "from-declared", "", "serve each endpoint of the declared `file` at its address")
	flags.StringVar(&o.control, "control", "", "serve the record of all stand-ins at `address`")
	flags.IntVar(&o.bodyBytes, "record-body-bytes", standin.DefaultBodyKeptBytes, "how much of each body the record keeps")
	flags.Var(&o.engines, "engine", "serve an engine at `address`; may be repeated")
	flags.Var(&o.services, "service", "serve a plain service at `address`; may be repeated")
	o.registerEngine(flags)
	flags.Int64Var(&o.service.Faults.DelayMS, "service-delay-ms", o.service.Faults.DelayMS, "time of one call of a service")
}

func (o *options) registerEngine(flags *flag.FlagSet) {
	e := &o.engine
	flags.StringVar(&o.models, "models", "", "comma-separated `names` of the models that engines serve; empty means any")
	flags.Float64Var(&e.PrefillTokensPerSecond, "prefill-rate", e.PrefillTokensPerSecond, "prompt tokens that an engine reads a second")
	flags.DurationVar(&e.DecodeStep, "decode-step", e.DecodeStep, "time of a decode step of an empty batch")
	flags.DurationVar(&e.DecodeStepPerRequest, "decode-step-per-request", e.DecodeStepPerRequest, "what each request of the batch adds to a step")
	flags.IntVar(&e.MaxBatch, "max-batch", e.MaxBatch, "requests that share a step")
	flags.IntVar(&e.CacheTokens, "cache-tokens", e.CacheTokens, "memory of the prefix cache in tokens")
	flags.DurationVar(&e.DisconnectGrace, "disconnect-grace", e.DisconnectGrace, "how long an answer that nobody reads goes on")
	flags.BoolVar(&e.ChecksFencing, "checks-fencing", e.ChecksFencing, "refuse orders with an old fencing number")
	flags.Int64Var(&e.Faults.LoadLagMS, "load-lag-ms", e.Faults.LoadLagMS, "age of load reports")
	flags.Int64Var(&e.Faults.CacheEventLagMS, "cache-event-lag-ms", e.Faults.CacheEventLagMS, "how late cache events are told")
	flags.Float64Var(&e.Faults.CacheEventLossPercent, "cache-event-loss-percent", e.Faults.CacheEventLossPercent, "cache events that are never told")
	flags.StringVar(&e.Faults.CrashMarker, "crash-marker", "", "`text` in a body that crashes the engine")
	flags.Int64Var(&e.Faults.RestartMS, "restart-ms", e.Faults.RestartMS, "for how long a crashed engine refuses connections")
	flags.Uint64Var(&e.Seed, "seed", e.Seed, "seed of all randomness")
}

func (o *options) check(flags *flag.FlagSet) error {
	switch {
	case flags.NArg() > 0:
		return errors.Newf("unexpected argument %q", flags.Arg(0))
	case o.platform == "" && (o.declared != "" || o.instances != ""):
		return errors.New("-declared and -instances need -platform")
	case o.platform == "" && o.fromDeclared == "" && o.control == "" && len(o.engines)+len(o.services) == 0:
		return errors.New("nothing to serve")
	}
	return nil
}

// plan returns the stand-ins that the options ask for.
func plan(o *options, recorder *standin.Recorder) ([]stand, error) {
	var stands []stand
	if o.control != "" {
		stands = append(stands, stand{"control", "control", o.control, standin.NewControl(recorder)})
	}
	if o.platform != "" {
		p, err := newPlatform(o)
		if err != nil {
			return nil, err
		}
		stands = append(stands, stand{"platform", "platform", o.platform, p})
	}
	for _, address := range o.engines {
		stands = append(stands, newEngine(o.engine, address, address, recorder))
	}
	for _, address := range o.services {
		stands = append(stands, newService(o.service, address, address, recorder))
	}
	declaredStands, err := planDeclared(o, recorder)
	return append(stands, declaredStands...), err
}

func newPlatform(o *options) (http.Handler, error) {
	p := standin.NewPlatform()
	if o.declared != "" {
		b, err := os.ReadFile(o.declared)
		if err != nil {
			return nil, errors.Wrap(err, "-declared")
		}
		p.PublishValue("declared", b)
	}
	if o.instances != "" {
		b, err := os.ReadFile(o.instances)
		if err != nil {
			return nil, errors.Wrap(err, "-instances")
		}
		p.PublishInstances(b)
	}
	return p, nil
}

func newEngine(settings standin.EngineSettings, name, address string, recorder *standin.Recorder) stand {
	settings.Name = name
	return stand{"engine", name, address, standin.NewEngine(settings, recorder)}
}

func newService(settings standin.ServiceSettings, name, address string, recorder *standin.Recorder) stand {
	settings.Name = name
	return stand{"service", name, address, standin.NewService(settings, recorder)}
}

// planDeclared returns a stand-in for each endpoint of a declared file, as
// fast as its class says.
func planDeclared(o *options, recorder *standin.Recorder) ([]stand, error) {
	if o.fromDeclared == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.fromDeclared)
	if err != nil {
		return nil, errors.Wrap(err, "-from-declared")
	}
	file, err := declared.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, "-from-declared")
	}
	var stands []stand
	for i, endpoint := range file.Endpoints {
		class := file.Class(endpoint.Class)
		if class.Kind == declared.KindService {
			stands = append(stands, newService(o.service, endpoint.Name, endpoint.Address, recorder))
			continue
		}
		settings := engineOfClass(o.engine, class, endpoint)
		settings.Seed += uint64(i)
		stands = append(stands, newEngine(settings, endpoint.Name, endpoint.Address, recorder))
	}
	return stands, nil
}

// emptyStepPercent is the part of a full batch's step that a step of an empty
// batch takes.
const emptyStepPercent = 60

// engineOfClass gives an engine the declared rates: with all of its slots
// busy it decodes at the rate of its class.
func engineOfClass(settings standin.EngineSettings, class *declared.Class, endpoint declared.Endpoint) standin.EngineSettings {
	settings.Models = endpoint.Models
	settings.ChecksFencing = class.ChecksFencing
	if class.PrefillTokensPerSecond > 0 {
		settings.PrefillTokensPerSecond = float64(class.PrefillTokensPerSecond)
	}
	if class.DecodeTokensPerSecond > 0 && endpoint.Slots > 0 {
		full := time.Duration(endpoint.Slots) * time.Second / time.Duration(class.DecodeTokensPerSecond)
		settings.DecodeStep = full * emptyStepPercent / 100
		settings.DecodeStepPerRequest = (full - settings.DecodeStep) / time.Duration(endpoint.Slots)
	}
	return settings
}

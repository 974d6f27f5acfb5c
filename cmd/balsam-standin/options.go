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

// options holds the values of the command-line flags.
type options struct {
	platform     string
	declared     string
	instances    string
	fromDeclared string
	control      string
	engines      addressList
	services     addressList
	models       string
	bodyBytes    int
	engine       standin.EngineSettings
	service      standin.ServiceSettings
}

// addressList is the value of a flag that may be repeated.
type addressList []string

func (a *addressList) String() string { return strings.Join(*a, ",") }

func (a *addressList) Set(address string) error {
	*a = append(*a, address)
	return nil
}

// parseOptions parses the flags. It prints errors and the usage to out.
func parseOptions(args []string, out io.Writer) (*options, error) {
	o := &options{
		engine:  standin.DefaultEngineSettings(),
		service: standin.DefaultServiceSettings(),
	}
	flags := flag.NewFlagSet("balsam-standin", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() { printUsage(flags) }
	o.registerFlags(flags)
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if err := o.validate(flags); err != nil {
		fmt.Fprintln(out, err)
		printUsage(flags)
		return nil, err
	}
	if o.models != "" {
		o.engine.Models = strings.Split(o.models, ",")
	}
	return o, nil
}

func (o *options) registerFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.platform, "platform", "", "serve a platform at `address`")
	flags.StringVar(&o.declared, "declared", "", "publish the `file` under the key declared")
	flags.StringVar(&o.instances, "instances", "", "publish the JSON `file` as the instance list")
	flags.StringVar(&o.fromDeclared, "from-declared", "", "serve each endpoint of the declared `file` at its address")
	flags.StringVar(&o.control, "control", "", "serve the record of all stand-ins at `address`")
	flags.IntVar(&o.bodyBytes, "record-body-bytes", standin.DefaultRecordedBodyBytes, "maximum number of `bytes` of each body that the record keeps")
	flags.Var(&o.engines, "engine", "serve an engine at `address`; may be repeated")
	flags.Var(&o.services, "service", "serve a plain service at `address`; may be repeated")
	o.registerEngineFlags(flags)
	flags.Int64Var(&o.service.Faults.DelayMS, "service-delay-ms", o.service.Faults.DelayMS, "duration of a request to a service, in milliseconds")
}

func (o *options) registerEngineFlags(flags *flag.FlagSet) {
	e := &o.engine
	flags.StringVar(&o.models, "models", "", "comma-separated `names` of the models that engines serve; any model if empty")
	flags.Float64Var(&e.PrefillTokensPerSecond, "prefill-rate", e.PrefillTokensPerSecond, "prompt tokens that an engine processes per second")
	flags.DurationVar(&e.DecodeStep, "decode-step", e.DecodeStep, "duration of a decode step of an empty batch")
	flags.DurationVar(&e.DecodeStepPerRequest, "decode-step-per-request", e.DecodeStepPerRequest, "time that each request of the batch adds to a decode step")
	flags.IntVar(&e.MaxBatch, "max-batch", e.MaxBatch, "maximum number of requests in a batch")
	flags.IntVar(&e.CacheTokens, "cache-tokens", e.CacheTokens, "size of the prefix cache in tokens")
	flags.DurationVar(&e.DisconnectGrace, "disconnect-grace", e.DisconnectGrace, "how long an engine continues an answer after the client disconnected")
	flags.BoolVar(&e.ChecksFencing, "checks-fencing", e.ChecksFencing, "reject orders with an old fencing number")
	flags.Int64Var(&e.Faults.LoadLagMS, "load-lag-ms", e.Faults.LoadLagMS, "age of load reports, in milliseconds")
	flags.Int64Var(&e.Faults.CacheEventLagMS, "cache-event-lag-ms", e.Faults.CacheEventLagMS, "delay of cache events, in milliseconds")
	flags.Float64Var(&e.Faults.CacheEventLossPercent, "cache-event-loss-percent", e.Faults.CacheEventLossPercent, "percentage of cache events that are lost")
	flags.StringVar(&e.Faults.CrashMarker, "crash-marker", "", "`text` in a request body that crashes the engine")
	flags.Int64Var(&e.Faults.RestartMS, "restart-ms", e.Faults.RestartMS, "how long a crashed engine refuses connections, in milliseconds")
	flags.Uint64Var(&e.Seed, "seed", e.Seed, "random seed")
}

func (o *options) validate(flags *flag.FlagSet) error {
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

// serverSpecs returns the stand-ins that the options request.
func serverSpecs(o *options, recorder *standin.Recorder) ([]serverSpec, error) {
	var specs []serverSpec
	if o.control != "" {
		specs = append(specs, serverSpec{"control", "control", o.control, standin.NewControl(recorder)})
	}
	if o.platform != "" {
		p, err := newPlatform(o)
		if err != nil {
			return nil, err
		}
		specs = append(specs, serverSpec{"platform", "platform", o.platform, p})
	}
	for _, address := range o.engines {
		specs = append(specs, engineSpec(o.engine, address, address, recorder))
	}
	for _, address := range o.services {
		specs = append(specs, serviceSpec(o.service, address, address, recorder))
	}
	declaredSpecs, err := declaredServerSpecs(o, recorder)
	return append(specs, declaredSpecs...), err
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

func engineSpec(settings standin.EngineSettings, name, address string, recorder *standin.Recorder) serverSpec {
	settings.Name = name
	return serverSpec{"engine", name, address, standin.NewEngine(settings, recorder)}
}

func serviceSpec(settings standin.ServiceSettings, name, address string, recorder *standin.Recorder) serverSpec {
	settings.Name = name
	return serverSpec{"service", name, address, standin.NewService(settings, recorder)}
}

// declaredServerSpecs returns a stand-in for each endpoint of the declared file,
// with the speed of its class.
func declaredServerSpecs(o *options, recorder *standin.Recorder) ([]serverSpec, error) {
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
	var specs []serverSpec
	for i, endpoint := range file.Endpoints {
		class := file.Class(endpoint.Class)
		if class.Kind == declared.KindService {
			specs = append(specs, serviceSpec(o.service, endpoint.Name, endpoint.Address, recorder))
			continue
		}
		settings := engineSettingsForClass(o.engine, class, endpoint)
		settings.Seed += uint64(i)
		specs = append(specs, engineSpec(settings, endpoint.Name, endpoint.Address, recorder))
	}
	return specs, nil
}

// emptyBatchStepPercent is the duration of a decode step of an empty batch, as a
// percentage of a step of a full batch.
const emptyBatchStepPercent = 60

// engineSettingsForClass returns settings with the rates of the class: an engine
// with all slots in use decodes at the declared rate.
func engineSettingsForClass(settings standin.EngineSettings, class *declared.Class, endpoint declared.Endpoint) standin.EngineSettings {
	settings.Models = endpoint.Models
	settings.ChecksFencing = class.ChecksFencing
	if class.PrefillTokensPerSecond > 0 {
		settings.PrefillTokensPerSecond = float64(class.PrefillTokensPerSecond)
	}
	if class.DecodeTokensPerSecond > 0 && endpoint.Slots > 0 {
		full := time.Duration(endpoint.Slots) * time.Second / time.Duration(class.DecodeTokensPerSecond)
		settings.DecodeStep = full * emptyBatchStepPercent / 100
		settings.DecodeStepPerRequest = (full - settings.DecodeStep) / time.Duration(endpoint.Slots)
	}
	return settings
}

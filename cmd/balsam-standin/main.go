// Command balsam-standin runs stand-ins for model engines, plain services and
// the platform in one process, for tests and demonstrations.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/balsamstair/balsamstair/internal/standin"
)

func main() {
	options, err := parseOptions(os.Args[1:], os.Stderr)
	if err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, options, newLogger()); err != nil {
		fmt.Fprintln(os.Stderr, "balsam-standin:", err)
		os.Exit(1)
	}
}

func newLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "standin", Output: os.Stderr})
}

// run starts all stand-ins and serves until ctx is cancelled.
func run(ctx context.Context, o *options, log hclog.Logger) error {
	specs, err := serverSpecs(o, standin.NewRecorderWithBodyLimit(o.bodyBytes))
	if err != nil {
		return err
	}
	supervisor := suture.NewSimple("standins")
	for _, s := range specs {
		server, err := standin.Listen(s.address, s.handler)
		if err != nil {
			return err
		}
		log.Info("serving", "kind", s.kind, "name", s.name, "address", server.Address())
		supervisor.Add(server)
	}
	if err := supervisor.Serve(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// serverSpec describes one stand-in to serve.
type serverSpec struct {
	kind    string
	name    string
	address string
	handler http.Handler
}

// usage is the text before the list of flags.
const usage = `usage: balsam-standin [flags]

Runs stand-ins in one process. At least one of -platform, -engine, -service,
-from-declared and -control is required.

`

func printUsage(flags *flag.FlagSet) {
	fmt.Fprint(flags.Output(), usage)
	flags.PrintDefaults()
}

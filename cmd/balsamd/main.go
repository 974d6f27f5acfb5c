// Command balsamd is the daemon of an entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/balsamstair/balsamstair/internal/hangup"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "`file` with the instance's settings (TOML)")
	level := flag.String("log-level", "info", "minimum log `level`: debug, info, warn or error")
	routed := flag.Bool("routed", false, "serve routed traffic by the platform's configuration")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 || !logline.ValidLevel(*level) {
		flag.Usage()
		return exitSettings
	}
	if *routed {
		return runRouted(*path, *level, hangup.Received())
	}
	cfg, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamd:", err)
		return exitSettings
	}
	log := logline.New(os.Stderr, *level)
	// net/http's transport writes bytes that an endpoint sends after its answer
	// to the standard logger. Contents of answers must not be logged.
	stdlog.SetOutput(io.Discard)
	for _, w := range cfg.Warnings {
		log.Warn("setting", "key", w.Key, "message", w.Message)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		for range hangup.Received() {
			log.Warn("settings_not_reloaded", "reason", "settings are read only at start")
		}
	}()
	d, err := newDaemon(cfg, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamd:", err)
		return exitSettings
	}
	if err := d.run(ctx); err != nil {
		log.Error("failed", "error", err.Error())
		return exitFailure
	}
	return exitOK
}

// runRouted serves routed traffic until SIGTERM or SIGINT.
func runRouted(path, level string, sighups <-chan os.Signal) int {
	cfg, err := settings.LoadRouted(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamd:", err)
		return exitSettings
	}
	out := logline.NewAsyncWriter(os.Stdout)
	defer out.Flush()
	log := logline.New(out, level)
	// net/http's transport writes bytes that an endpoint sends after its answer
	// to the standard logger. Contents of answers must not be logged.
	stdlog.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := newRoutedDaemon(path, cfg, log, sighups).run(ctx); err != nil {
		log.Error("failed", "error", err.Error())
		return exitFailure
	}
	return exitOK
}

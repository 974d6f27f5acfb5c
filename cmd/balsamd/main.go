// Command balsamd is the daemon that every entry instance runs.
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

	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	// A signal that comes before its handler would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := flag.String("settings", "", "`file` with the instance's settings (TOML)")
	level := flag.String("log-level", "info", "least `level` that is logged: debug, info, warn or error")
	routed := flag.Bool("routed", false, "serve routed traffic as the platform's configuration declares it")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 || !logline.ValidLevel(*level) {
		flag.Usage()
		return exitSettings
	}
	if *routed {
		return runRouted(*path, *level, hangups)
	}
	set, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamd:", err)
		return exitSettings
	}
	log := logline.New(os.Stderr, *level)
	// net/http's transport writes what an endpoint sends behind its answer to
	// the standard logger: no answer may get into the log.
	stdlog.SetOutput(io.Discard)
	for _, w := range set.Warnings {
		log.Warn("setting", "key", w.Key, "message", w.Message)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		for range hangups {
			log.Warn("settings_not_reloaded", "reason", "settings hold until the next start")
		}
	}()
	d, err := newDaemon(set, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamd:", err)
		return exitSettings
	}
	if err := d.run(ctx); err != nil {
		log.Error("failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// runRouted serves routed traffic until SIGTERM.
func runRouted(path, level string, hangups <-chan os.Signal) int {
	set, err := settings.LoadRouted(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamd:", err)
		return exitSettings
	}
	out := logline.NewAsyncWriter(os.Stdout)
	defer out.Flush()
	log := logline.New(out, level)
	// net/http's transport writes what an endpoint sends behind its answer to
	// the standard logger: no answer may get into the log.
	stdlog.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := newRoutedDaemon(path, set, log, hangups).run(ctx); err != nil {
		log.Error("failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/balsamstair/balsamstair/internal/load"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

var loadCommand = &command{
	name:     "load",
	synopsis: "generate the load of many callers and check the answers",
	usage:    "-declared FILE [flags] ADDRESS...",
	description: `Load sends model requests to the caller addresses in turn, at random times that
do not depend on the answers, and checks that each answer is complete and
belongs to its request. Organisations, tiers, deadlines and models are those of
the declared file. Only answers of stand-in engines can be checked. With
-record, the record of the stand-ins is read at the end. The exit code is 1 if
an answer was wrong, if a request was dispatched twice, or if a request ran
although it was refused as not run.`,
}

func init() {
	loadCommand.run = runLoad
	register(loadCommand)
}

// loadRun holds the parameters of one run of the command.
type loadRun struct {
	settings      load.Settings
	declaredPath  string
	keyPrefix     string
	models        string
	recordAddress string
	timeout       time.Duration
	asJSON        bool
}

func (l *loadRun) registerFlags(flags *flag.FlagSet) {
	l.settings = load.DefaultSettings()
	s := &l.settings
	flags.StringVar(&l.declaredPath, "declared", "", "declared `file` with the organisations and tiers")
	flags.StringVar(&l.keyPrefix, "key-prefix", "example-key-of-", "prefix `text` of bearer keys; the organisation's name follows")
	flags.StringVar(&l.models, "models", "", "comma-separated `names` of the models to use; all models of the file if empty")
	flags.StringVar(&l.recordAddress, "record", "", "control `address` of the stand-ins, to compare with their record of requests")
	flags.DurationVar(&l.timeout, "timeout", 2*time.Minute, "maximum `time` to wait for an answer if the tier has no deadline")
	flags.BoolVar(&l.asJSON, "json", false, "print JSON")
	flags.Float64Var(&s.RequestsPerSecond, "rate", s.RequestsPerSecond, "mean `requests` per second")
	flags.DurationVar(&s.Duration, "duration", s.Duration, "how long requests are sent")
	flags.Uint64Var(&s.Seed, "seed", s.Seed, "random seed")
	flags.IntVar(&s.Prompt.Min, "prompt-min", s.Prompt.Min, "minimum prompt length in `tokens`")
	flags.IntVar(&s.Prompt.Max, "prompt-max", s.Prompt.Max, "maximum prompt length in `tokens`")
	flags.IntVar(&s.Output.Min, "output-min", s.Output.Min, "minimum answer length in `tokens`")
	flags.IntVar(&s.Output.Max, "output-max", s.Output.Max, "maximum answer length in `tokens`")
	flags.Float64Var(&s.SharedPercent, "shared-percent", s.SharedPercent, "`percent` of prompts with a shared prefix")
	flags.IntVar(&s.SharedPrefixes, "shared-prefixes", s.SharedPrefixes, "`number` of shared prefixes")
	flags.IntVar(&s.PrefixTokens, "prefix-tokens", s.PrefixTokens, "length of a shared prefix in `tokens`")
}

func runLoad(args []string, io ioStreams) int {
	var l loadRun
	flags := loadCommand.newFlagSet(io)
	l.registerFlags(flags)
	if code, ok := loadCommand.parse(flags, args, io); !ok {
		return code
	}
	switch {
	case flags.NArg() == 0:
		return loadCommand.usageError(flags, io, "no address is named")
	case l.declaredPath == "":
		return loadCommand.usageError(flags, io, "a declared file is needed")
	case l.settings.RequestsPerSecond <= 0 || l.settings.Prompt.Min < 1 || l.settings.Output.Min < 1:
		return loadCommand.usageError(flags, io, "the rate and the minimum lengths must be greater than zero")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return l.execute(ctx, flags.Args(), io)
}

func (l *loadRun) execute(ctx context.Context, callers []string, io ioStreams) int {
	f, err := readDeclared(l.declaredPath)
	if err != nil {
		return reportError(io, l.declaredPath, err)
	}
	mix, err := load.NewMix(f, l.modelNames(), func(organisation string) string { return l.keyPrefix + organisation })
	if err != nil {
		return reportError(io, l.declaredPath, err)
	}
	runner := &load.Runner{Addresses: callers, Transport: load.NewTransport(), Timeout: l.timeout}
	report, err := runner.Run(ctx, load.NewSchedule(l.settings, mix))
	if err != nil {
		return reportError(io, "load", err)
	}
	audit, err := l.audit(report)
	if err != nil {
		return reportError(io, l.recordAddress, err)
	}
	summary := summarise(report, audit)
	if l.asJSON {
		return max(summary.exitCode(), writeJSON(io, summary))
	}
	printLoad(io.out, summary)
	return summary.exitCode()
}

func (l *loadRun) modelNames() []string {
	if l.models == "" {
		return nil
	}
	return strings.Split(l.models, ",")
}

// audit compares the report with the stand-ins' record, if -record is set, also
// after an interrupted run.
func (l *loadRun) audit(report *load.Report) (*load.Audit, error) {
	if l.recordAddress == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	runs, err := load.FetchRuns(ctx, l.recordAddress)
	if err != nil {
		return nil, err
	}
	return load.Check(report, runs), nil
}

// loadSummary is the command's output as JSON, with latencies in milliseconds.
type loadSummary struct {
	ElapsedSeconds float64          `json:"elapsed_seconds"`
	Skipped        int              `json:"skipped"`
	Tiers          []tierSummary    `json:"tiers"`
	Audit          *load.Audit      `json:"audit,omitempty"`
	Refusals       []refusalSummary `json:"refusals"`
}

// tierSummary is the result of one tier.
type tierSummary struct {
	Name            string             `json:"name"`
	Sent            int                `json:"sent"`
	InTime          int                `json:"in_time"`
	Goodput         float64            `json:"goodput"`
	TokensPerSecond float64            `json:"tokens_per_second"`
	Ended           map[load.Ended]int `json:"ended"`
	FirstToken      percentiles        `json:"first_token_ms"`
	Between         percentiles        `json:"between_tokens_ms"`
}

// percentiles are percentiles of a duration, in milliseconds.
type percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// refusalSummary is the number of refusals of one tier for one reason.
type refusalSummary struct {
	Tier   string         `json:"tier"`
	Reason refusal.Reason `json:"reason"`
	Count  int            `json:"count"`
}

func percentilesOf(at func(percentile float64) time.Duration) percentiles {
	ms := func(percentile float64) float64 { return float64(at(percentile)) / float64(time.Millisecond) }
	return percentiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func summarise(report *load.Report, audit *load.Audit) loadSummary {
	s := loadSummary{
		ElapsedSeconds: report.Elapsed.Seconds(), Skipped: report.Skipped,
		Audit: audit, Refusals: []refusalSummary{},
	}
	for _, t := range report.Tiers {
		s.Tiers = append(s.Tiers, tierSummary{
			Name: t.Name, Sent: t.Sent, InTime: t.InTime, Goodput: t.Goodput(), Ended: t.Ended,
			TokensPerSecond: float64(t.Tokens) / report.Elapsed.Seconds(),
			FirstToken:      percentilesOf(t.FirstToken), Between: percentilesOf(t.TokenGap),
		})
		for reason, n := range t.Refused {
			s.Refusals = append(s.Refusals, refusalSummary{t.Name, reason, n})
		}
	}
	slices.SortFunc(s.Refusals, func(a, b refusalSummary) int {
		return strings.Compare(a.Tier+" "+string(a.Reason), b.Tier+" "+string(b.Reason))
	})
	return s
}

// exitCode returns exitProblem if the audit found a violation or an answer was
// wrong.
func (s *loadSummary) exitCode() int {
	if s.Audit != nil && s.Audit.HasViolations() {
		return exitProblem
	}
	for _, t := range s.Tiers {
		if t.Ended[load.EndedWrong] > 0 {
			return exitProblem
		}
	}
	return exitOK
}

func printLoad(w io.Writer, s loadSummary) {
	fmt.Fprintf(w, "%.1f s, %d requests not sent since too many waited\n\n", s.ElapsedSeconds, s.Skipped)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "tier\tsent\tin time\tgoodput\twhole\trefused\ttimed out\tcut\tfailed\twrong\ttokens/s\tfirst token p50/p95 ms\tbetween p50/p95 ms\t\n")
	for _, t := range s.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f/%.0f\t%.1f/%.1f\t\n",
			t.Name, t.Sent, t.InTime, t.Goodput, t.Ended[load.EndedComplete], t.Ended[load.EndedRefused],
			t.Ended[load.EndedTimedOut], t.Ended[load.EndedIncomplete], t.Ended[load.EndedFailed], t.Ended[load.EndedWrong], t.TokensPerSecond,
			t.FirstToken.P50, t.FirstToken.P95, t.Between.P50, t.Between.P95)
	}
	table.Flush()
	for _, r := range s.Refusals {
		fmt.Fprintf(w, "refused: tier=%s reason=%s count=%d\n", r.Tier, r.Reason, r.Count)
	}
	if s.Audit == nil {
		return
	}
	a := s.Audit
	fmt.Fprintf(w, "dispatches=%d twice=%d ran_though_not_run=%d unseen=%d prompt_tokens=%d cached_tokens=%d wasted_prefill_tokens=%d\n",
		a.Dispatches, len(a.DispatchedTwice), len(a.RanAfterRefusal), len(a.WithoutDispatch), a.PromptTokens, a.CachedTokens, a.WastedTokens)
}

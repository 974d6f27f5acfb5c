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
	synopsis: "send the load of many callers and check their answers",
	usage:    "-declared FILE [flags] ADDRESS...",
	about: `Load sends model requests to the caller addresses in turn, at random times that
do not depend on the answers, and checks that each answer is whole and its own.
Organisations, tiers, deadlines and models are those of the declared file.
Answers can be checked against stand-in engines only. With -record, the record
of the stand-ins is read at the end: a request that was dispatched twice, or
that ran although it was refused as not run, is a problem for the exit code, as
is a wrong answer.`,
}

func init() {
	loadCommand.run = runLoad
	register(loadCommand)
}

// loading is what one run of the command does.
type loading struct {
	settings load.Settings
	declared string
	keys     string
	models   string
	record   string
	timeout  time.Duration
	asJSON   bool
}

func (l *loading) register(set *flag.FlagSet) {
	l.settings = load.DefaultSettings()
	s := &l.settings
	set.StringVar(&l.declared, "declared", "", "declared `file` with the organisations and tiers")
	set.StringVar(&l.keys, "key-prefix", "example-key-of-", "`text` before an organisation's name that makes its bearer key")
	set.StringVar(&l.models, "models", "", "comma-separated `names` of models to ask; all of the file where empty")
	set.StringVar(&l.record, "record", "", "control `address` of the stand-ins, to compare with what they saw")
	set.DurationVar(&l.timeout, "timeout", 2*time.Minute, "longest `time` to wait where a tier has no deadline")
	set.BoolVar(&l.asJSON, "json", false, "print JSON")
	set.Float64Var(&s.RequestsPerSecond, "rate", s.RequestsPerSecond, "mean `requests` per second")
	set.DurationVar(&s.Duration, "duration", s.Duration, "for how long requests arrive")
	set.Uint64Var(&s.Seed, "seed", s.Seed, "seed of all that is random")
	set.IntVar(&s.Prompt.Min, "prompt-min", s.Prompt.Min, "shortest prompt in `tokens`")
	set.IntVar(&s.Prompt.Max, "prompt-max", s.Prompt.Max, "longest prompt in `tokens`")
	set.IntVar(&s.Output.Min, "output-min", s.Output.Min, "shortest answer in `tokens`")
	set.IntVar(&s.Output.Max, "output-max", s.Output.Max, "longest answer in `tokens`")
	set.Float64Var(&s.SharedPercent, "shared-percent", s.SharedPercent, "`percent` of prompts that begin as others do")
	set.IntVar(&s.SharedPrefixes, "shared-prefixes", s.SharedPrefixes, "`number` of shared beginnings")
	set.IntVar(&s.PrefixTokens, "prefix-tokens", s.PrefixTokens, "length of a shared beginning in `tokens`")
}

func runLoad(args []string, io streams) int {
	var l loading
	set := loadCommand.flags(io)
	l.register(set)
	if code, ok := loadCommand.parse(set, args, io); !ok {
		return code
	}
	switch {
	case set.NArg() == 0:
		return loadCommand.misused(set, io, "no address is named")
	case l.declared == "":
		return loadCommand.misused(set, io, "a declared file is needed")
	case l.settings.RequestsPerSecond <= 0 || l.settings.Prompt.Min < 1 || l.settings.Output.Min < 1:
		return loadCommand.misused(set, io, "the rate and the shortest lengths must be above zero")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return l.carryOut(ctx, set.Args(), io)
}

func (l *loading) carryOut(ctx context.Context, callers []string, io streams) int {
	f, err := loadFile(l.declared)
	if err != nil {
		return fail(io, l.declared, err)
	}
	mix, err := load.NewMix(f, l.modelNames(), func(organisation string) string { return l.keys + organisation })
	if err != nil {
		return fail(io, l.declared, err)
	}
	runner := &load.Runner{Callers: callers, Transport: load.NewTransport(), Timeout: l.timeout}
	report, err := runner.Run(ctx, load.NewSchedule(l.settings, mix))
	if err != nil {
		return fail(io, "load", err)
	}
	audit, err := l.audit(report)
	if err != nil {
		return fail(io, l.record, err)
	}
	summary := summarise(report, audit)
	if l.asJSON {
		return max(summary.code(), writeJSON(io, summary))
	}
	printLoad(io.out, summary)
	return summary.code()
}

func (l *loading) modelNames() []string {
	if l.models == "" {
		return nil
	}
	return strings.Split(l.models, ",")
}

// audit compares the report with the stand-ins' record, if one is named. It
// does so also where the run was interrupted.
func (l *loading) audit(report *load.Report) (*load.Audit, error) {
	if l.record == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	runs, err := load.FetchRuns(ctx, l.record)
	if err != nil {
		return nil, err
	}
	return load.Check(report, runs), nil
}

// loadSummary is the JSON form of the command's output; times are in
// milliseconds.
type loadSummary struct {
	ElapsedSeconds float64         `json:"elapsed_seconds"`
	Skipped        int             `json:"skipped"`
	Tiers          []tierSummary   `json:"tiers"`
	Audit          *load.Audit     `json:"audit,omitempty"`
	Refusals       []reasonSummary `json:"refusals"`
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

// percentiles are of a time in milliseconds.
type percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// reasonSummary counts the refusals of one reason.
type reasonSummary struct {
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
		Audit: audit, Refusals: []reasonSummary{},
	}
	for _, t := range report.Tiers {
		s.Tiers = append(s.Tiers, tierSummary{
			Name: t.Name, Sent: t.Sent, InTime: t.InTime, Goodput: t.Goodput(), Ended: t.Ended,
			TokensPerSecond: float64(t.Tokens) / report.Elapsed.Seconds(),
			FirstToken:      percentilesOf(t.FirstToken), Between: percentilesOf(t.Between),
		})
		for reason, n := range t.Refused {
			s.Refusals = append(s.Refusals, reasonSummary{t.Name, reason, n})
		}
	}
	slices.SortFunc(s.Refusals, func(a, b reasonSummary) int {
		return strings.Compare(a.Tier+" "+string(a.Reason), b.Tier+" "+string(b.Reason))
	})
	return s
}

// code says whether something happened that must never happen.
func (s *loadSummary) code() int {
	if s.Audit != nil && s.Audit.Broken() {
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
			t.Name, t.Sent, t.InTime, t.Goodput, t.Ended[load.EndedWhole], t.Ended[load.EndedRefused],
			t.Ended[load.EndedTimedOut], t.Ended[load.EndedCut], t.Ended[load.EndedFailed], t.Ended[load.EndedWrong], t.TokensPerSecond,
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
		a.Dispatches, len(a.Twice), len(a.RanThough), len(a.Unseen), a.PromptTokens, a.CachedTokens, a.WastedTokens)
}

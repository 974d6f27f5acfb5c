package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/cockroachdb/errors"
)

var explainCommand = &command{
	name:     "explain",
	synopsis: "show why a request was placed or refused",
	usage:    "[-json] [-ca-file FILE] [-timeout DURATION] ADDRESS REQUEST",
	description: `Explain prints the recent decisions on REQUEST of the instance whose operator
address is ADDRESS: from which instances it requested a slot, what they granted,
what was retried and why, and how the request ended. A response has the name of
the instance in its header Balsam-Instance, and REQUEST in its header
Balsam-Request. An instance keeps its last 1,024 decisions. If it has none on
the request, the exit code is 1.`,
}

func init() {
	explainCommand.run = runExplain
	register(explainCommand)
}

func runExplain(args []string, io ioStreams) int {
	flags := explainCommand.newFlagSet(io)
	asJSON := flags.Bool("json", false, "print JSON")
	caFile := flags.String("ca-file", "", "use TLS and trust the CA certificates in `FILE`")
	timeout := flags.Duration("timeout", 5*time.Second, "maximum `time` to wait for the instance")
	if code, ok := explainCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() != 2 {
		return explainCommand.usageError(flags, io, "an address and a request are needed")
	}
	client, err := newOperatorClient(*caFile)
	if err != nil {
		return reportError(io, *caFile, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	decisions, err := client.fetchDecisions(ctx, flags.Arg(0), flags.Arg(1))
	if err != nil {
		return reportError(io, flags.Arg(0), err)
	}
	if *asJSON {
		return writeJSON(io, decisions)
	}
	if len(decisions) == 0 {
		fmt.Fprintln(io.err, "balsamctl: explain: the instance has no decisions on the request")
		return exitProblem
	}
	printDecisions(io.out, decisions)
	return exitOK
}

func (c *operatorClient) fetchDecisions(ctx context.Context, address, request string) ([]reducer.Decision, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+address+"/explain?request="+url.QueryEscape(request), nil)
	if err != nil {
		return nil, err
	}
	resp, err := httphead.Do(c.client, req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d: %s", resp.StatusCode, quoteUnprintable(string(body)))
	}
	var decisions []reducer.Decision
	err = json.Unmarshal(body, &decisions)
	return decisions, err
}

// printDecisions prints a table of decisions, with times in milliseconds since
// the first one.
func printDecisions(w io.Writer, decisions []reducer.Decision) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "MS\tDECISION\tDETAIL\n")
	for _, d := range decisions {
		fmt.Fprintf(table, "%.1f\t%s\t%s\n", d.At.Sub(decisions[0].At).Seconds()*1000, quoteUnprintable(d.Action), quoteUnprintable(d.Detail))
	}
	table.Flush()
}

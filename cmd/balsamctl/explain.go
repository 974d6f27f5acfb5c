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

	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/cockroachdb/errors"
)

var explainCommand = &command{
	name:     "explain",
	synopsis: "tell why a request was placed or refused",
	usage:    "[-json] [-ca-file FILE] [-timeout DURATION] ADDRESS REQUEST",
	about: `Explain asks the instance at the operator address ADDRESS, which is named in the
answer's header Balsam-Instance, for its recent decisions on REQUEST, which is
named in the header Balsam-Request: whom it asked for a slot, what was granted,
what was tried again and why, and the end. An instance remembers its last
1,024 decisions; a request of which it knows nothing is a problem for the exit
code.`,
}

func init() {
	explainCommand.run = runExplain
	register(explainCommand)
}

func runExplain(args []string, io streams) int {
	set := explainCommand.flags(io)
	asJSON := set.Bool("json", false, "print JSON")
	caFile := set.String("ca-file", "", "ask over TLS and accept certificates of the authorities in `FILE`")
	timeout := set.Duration("timeout", 5*time.Second, "longest `time` to wait for the instance")
	if code, ok := explainCommand.parse(set, args, io); !ok {
		return code
	}
	if set.NArg() != 2 {
		return explainCommand.misused(set, io, "an address and a request are needed")
	}
	a, err := newAsker(*caFile)
	if err != nil {
		return fail(io, *caFile, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	decisions, err := a.explain(ctx, set.Arg(0), set.Arg(1))
	if err != nil {
		return fail(io, set.Arg(0), err)
	}
	if *asJSON {
		return writeJSON(io, decisions)
	}
	if len(decisions) == 0 {
		fmt.Fprintln(io.err, "balsamctl: explain: the instance knows nothing of the request")
		return exitProblem
	}
	printDecisions(io.out, decisions)
	return exitOK
}

func (a *asker) explain(ctx context.Context, address, request string) ([]reducer.Decision, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.scheme+"://"+address+"/explain?request="+url.QueryEscape(request), nil)
	if err != nil {
		return nil, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d: %s", resp.StatusCode, clean(string(body)))
	}
	var decisions []reducer.Decision
	err = json.Unmarshal(body, &decisions)
	return decisions, err
}

// printDecisions shows times from the first decision on.
func printDecisions(w io.Writer, decisions []reducer.Decision) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "MS\tDECISION\tDETAIL\n")
	for _, d := range decisions {
		fmt.Fprintf(table, "%.1f\t%s\t%s\n", d.At.Sub(decisions[0].At).Seconds()*1000, clean(d.What), clean(d.Detail))
	}
	table.Flush()
}

package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/cockroachdb/errors"
)

var statusCommand = &command{
	name:     "status",
	synopsis: "show the state of running instances",
	usage:    "[-json] [-ca-file FILE] [-timeout DURATION] ADDRESS...",
	about: `Status asks instances at their operator addresses for their state and shows
it in tables: instances, endpoints as their owners see them, and pools. Below
the tables stands what needs a look: instances that cannot be reached or are
not ready, that have different files in force, suspect a peer, or own the same
endpoint at a time. Such a finding is a problem for the exit code.`,
}

func init() {
	statusCommand.run = runStatus
	register(statusCommand)
}

// maxStatusBytes bounds what is read from one instance.
const maxStatusBytes = 16 << 20

// answer is what one instance said of itself.
type answer struct {
	Address string `json:"address"`
	// Error says why there is no status; it is empty where there is one.
	Error  string          `json:"error,omitempty"`
	Status *reducer.Status `json:"status,omitempty"`
}

// report is the JSON form of the command's output.
type report struct {
	Instances []answer `json:"instances"`
	Findings  []string `json:"findings"`
}

func runStatus(args []string, io streams) int {
	set := statusCommand.flags(io)
	asJSON := set.Bool("json", false, "print JSON")
	caFile := set.String("ca-file", "", "ask over TLS and accept certificates of the authorities in `FILE`")
	timeout := set.Duration("timeout", 5*time.Second, "longest `time` to wait for an instance")
	if code, ok := statusCommand.parse(set, args, io); !ok {
		return code
	}
	if set.NArg() == 0 {
		return statusCommand.misused(set, io, "no address is named")
	}
	a, err := newAsker(*caFile)
	if err != nil {
		return fail(io, *caFile, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	r := report{Instances: a.askAll(ctx, set.Args())}
	r.Findings = findings(r.Instances)
	code := exitOK
	if len(r.Findings) > 0 {
		code = exitProblem
	}
	if *asJSON {
		return max(code, writeJSON(io, r))
	}
	printStatus(io.out, r.Instances)
	for _, f := range r.Findings {
		fmt.Fprintln(io.err, "balsamctl: status:", clean(f))
	}
	return code
}

// asker asks instances over HTTP.
type asker struct {
	scheme string
	client *http.Client
}

// noRedirect keeps to the addresses that were named.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newAsker(caFile string) (*asker, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	a := &asker{scheme: "http", client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
	if caFile == "" {
		return a, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.New("no certificate in the file")
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}
	a.scheme = "https"
	return a, nil
}

// askAll asks all at once and returns the answers in the order of the
// addresses.
func (a *asker) askAll(ctx context.Context, addresses []string) []answer {
	answers := make([]answer, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			answers[i].Address = address
			status, err := a.ask(ctx, address)
			if err != nil {
				answers[i].Error = err.Error()
				return
			}
			answers[i].Status = status
		})
	}
	wg.Wait()
	return answers
}

func (a *asker) ask(ctx context.Context, address string) (*reducer.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.scheme+"://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("answered %s", resp.Status)
	}
	var s reducer.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "answered no status")
	}
	return &s, nil
}

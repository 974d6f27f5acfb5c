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

	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/cockroachdb/errors"
)

var statusCommand = &command{
	name:     "status",
	synopsis: "show the state of running instances",
	usage:    "[-json] [-ca-file FILE] [-timeout DURATION] ADDRESS...",
	description: `Status fetches the state of instances from their operator addresses and prints
it in tables: instances, endpoints as reported by their owners, and pools. Below
the tables it prints findings: instances that are unreachable or not ready, that
have different files in force, that suspect a peer, or that own the same endpoint
at the same time. With any finding the exit code is 1.`,
}

func init() {
	statusCommand.run = runStatus
	register(statusCommand)
}

// maxResponseBytes is the maximum size of a response of an instance.
const maxResponseBytes = 16 << 20

// instanceResult is the status of one instance, or the error of fetching it.
type instanceResult struct {
	Address string `json:"address"`
	// Error is why Status is nil; it is empty otherwise.
	Error  string          `json:"error,omitempty"`
	Status *reducer.Status `json:"status,omitempty"`
}

// statusReport is the command's output as JSON.
type statusReport struct {
	Instances []instanceResult `json:"instances"`
	Findings  []string         `json:"findings"`
}

func runStatus(args []string, io ioStreams) int {
	flags := statusCommand.newFlagSet(io)
	asJSON := flags.Bool("json", false, "print JSON")
	caFile := flags.String("ca-file", "", "use TLS and trust the CA certificates in `FILE`")
	timeout := flags.Duration("timeout", 5*time.Second, "maximum `time` to wait for the instances")
	if code, ok := statusCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() == 0 {
		return statusCommand.usageError(flags, io, "no address is named")
	}
	client, err := newOperatorClient(*caFile)
	if err != nil {
		return reportError(io, *caFile, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	r := statusReport{Instances: client.fetchStatuses(ctx, flags.Args())}
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
		fmt.Fprintln(io.err, "balsamctl: status:", quoteUnprintable(f))
	}
	return code
}

// operatorClient is an HTTP client for the operator interface of instances.
type operatorClient struct {
	scheme string
	client *http.Client
}

// noRedirect disables redirects, so that only the given addresses are contacted.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newOperatorClient(caFile string) (*operatorClient, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	c := &operatorClient{scheme: "http", client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
	if caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.New("the file contains no certificate")
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}
	c.scheme = "https"
	return c, nil
}

// fetchStatuses fetches the status of all instances concurrently and returns the
// results in the order of the addresses.
func (c *operatorClient) fetchStatuses(ctx context.Context, addresses []string) []instanceResult {
	results := make([]instanceResult, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			results[i].Address = address
			status, err := c.fetchStatus(ctx, address)
			if err != nil {
				results[i].Error = err.Error()
				return
			}
			results[i].Status = status
		})
	}
	wg.Wait()
	return results
}

func (c *operatorClient) fetchStatus(ctx context.Context, address string) (*reducer.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := httphead.Do(c.client, req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("answered %s", resp.Status)
	}
	var s reducer.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "invalid status response")
	}
	return &s, nil
}

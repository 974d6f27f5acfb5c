package main

import (
	"context"
	"encoding/json"
	"encoding/pem"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

func testStatus(instance string, owned bool) *reducer.Status {
	return &reducer.Status{
		Instance: instance, AvailabilityZone: "north", Ready: true, Revision: 7, Digest: strings.Repeat("ab", 32),
		Held: 3, Waiting: 2,
		Peers:     []reducer.PeerStatus{{Instance: "other", Health: healthAlive}},
		Endpoints: []reducer.EndpointStatus{{Name: "runner-1", Class: "large", Owned: owned, Slots: 8, Granted: 5, Speed: 1, Available: true}},
		Pools:     []reducer.PoolStatus{{Name: "birch", Waiting: []int{0, 2}, FreeSlots: 3}},
	}
}

// serveStatus starts an operator interface that reports s, or an error if s is
// nil, and returns its address.
func serveStatus(t *testing.T, s *reducer.Status) string {
	t.Helper()
	server := httptest.NewServer(operator.New(operator.Config{Status: func(context.Context) (any, error) {
		if s == nil {
			return nil, errors.New("none")
		}
		return s, nil
	}}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestStatusOfHealthyInstances(t *testing.T) {
	first, second := serveStatus(t, testStatus("entry-1", false)), serveStatus(t, testStatus("entry-2", true))
	code, out, errs := balsamctl("status", first, second)
	must.Eq(t, exitOK, code)
	must.Eq(t, "", errs)
	for _, line := range []string{
		"entry-1   north  ready  7         abababababab  3     2        1/1",
		"runner-1  north  large  entry-2  5        8      1.00   available",
		"birch  north  entry-2  3           [0 2]            -",
	} {
		must.StrContains(t, out, line)
	}
	must.Eq(t, 1, strings.Count(out, "runner-1"))

	code, out, _ = balsamctl("status", "-json", first)
	must.Eq(t, exitOK, code)
	var r statusReport
	must.NoError(t, json.Unmarshal([]byte(out), &r))
	must.Eq(t, testStatus("entry-1", false), r.Instances[0].Status)
	must.SliceEmpty(t, r.Findings)
}

func TestStatusFindings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*reducer.Status)
		want   string
	}{
		"not ready":   {func(s *reducer.Status) { s.Ready = false }, "entry-1 is not ready"},
		"stopping":    {func(s *reducer.Status) { s.Stopping = true }, "entry-1 is stopping and still holds 3 requests"},
		"peer":        {func(s *reducer.Status) { s.Peers[0].Health = "dead" }, "entry-1 holds other for dead"},
		"file":        {func(s *reducer.Status) { s.Revision = 6 }, "different files are in force: revision 6 (abababababab) at [entry-1]"},
		"owners":      {func(s *reducer.Status) { s.Endpoints[0].Owned = true }, "endpoint runner-1 has several owners: [entry-1 entry-2]"},
		"straggler":   {func(s *reducer.Status) { s.Endpoints[0].Owned, s.Endpoints[0].Straggler = true, true }, "is a straggler"},
		"unavailable": {func(s *reducer.Status) { s.Endpoints[0].Owned, s.Endpoints[0].Available = true, false }, "runner-1 is not available"},
	} {
		t.Run(name, func(t *testing.T) {
			s := testStatus("entry-1", false)
			c.change(s)
			code, _, errs := balsamctl("status", serveStatus(t, s), serveStatus(t, testStatus("entry-2", true)))
			must.Eq(t, exitProblem, code)
			must.StrContains(t, errs, c.want)
		})
	}
}

func TestStatusOfUnreachableAndHostileInstances(t *testing.T) {
	hostile := testStatus("entry\x1b[2J\t\n-1", true)
	code, out, errs := balsamctl("status", "127.0.0.1:1", serveStatus(t, nil), serveStatus(t, hostile), "not an address")
	must.Eq(t, exitProblem, code)
	must.StrContains(t, errs, "127.0.0.1:1: ")
	must.StrContains(t, errs, "answered 503")
	must.StrNotContains(t, out+errs, "\x1b")
	must.Eq(t, 3, strings.Count(out, "unreachable"))
	code, _, errs = balsamctl("status")
	must.Eq(t, exitUsage, code)
	must.StrContains(t, errs, "no address is named")
}

func TestStatusOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(operator.New(operator.Config{Status: func(context.Context) (any, error) {
		return testStatus("entry-1", true), nil
	}}))
	defer server.Close()
	address := server.Listener.Addr().String()
	file := filepath.Join(t.TempDir(), "ca.pem")
	der := server.Certificate().Raw
	must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	code, out, errs := balsamctl("status", "-ca-file", file, address)
	must.Eq(t, exitOK, code, must.Sprint(errs))
	must.StrContains(t, out, "entry-1")
	code, _, _ = balsamctl("status", address)
	must.Eq(t, exitProblem, code)
	code, _, errs = balsamctl("status", "-ca-file", "nowhere.pem", address)
	must.Eq(t, exitProblem, code)
	must.StrContains(t, errs, "nowhere.pem")
}

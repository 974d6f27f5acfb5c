package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/logline"
)

func get(t *testing.T, s http.Handler, path string) (status int, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

func vars(t *testing.T, c *Counters) map[string]any {
	t.Helper()
	_, body := get(t, New(Config{Counters: c}), "/debug/vars")
	var v map[string]any
	must.NoError(t, json.Unmarshal([]byte(body), &v))
	return v
}

func TestReadiness(t *testing.T) {
	s := New(Config{})
	status, _ := get(t, s, "/readyz")
	must.Eq(t, http.StatusServiceUnavailable, status)
	s.SetReady(true)
	status, body := get(t, s, "/readyz")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "ready\n", body)
	s.SetReady(false)
	status, _ = get(t, s, "/readyz")
	must.Eq(t, http.StatusServiceUnavailable, status)
}

func TestLivenessAndStatusReportFailures(t *testing.T) {
	var failing error
	var log bytes.Buffer
	s := New(Config{
		Live: func(context.Context) error { return failing },
		Status: func(context.Context) (any, error) {
			return map[string]any{"revision": 3}, failing
		},
		Log: logline.New(&log, "info"),
	})
	status, _ := get(t, s, "/livez")
	must.Eq(t, http.StatusOK, status)
	status, body := get(t, s, "/status")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, `{"revision":3}`+"\n", body)
	failing = errors.New("a secret\ndetail")
	for _, path := range []string{"/livez", "/status"} {
		status, body = get(t, s, path)
		must.Eq(t, http.StatusServiceUnavailable, status)
		must.StrNotContains(t, body, "secret")
	}
	must.Eq(t, 2, strings.Count(log.String(), "\n"))
}

func TestUnencodableStatusReturnsNoPartialBody(t *testing.T) {
	s := New(Config{Status: func(context.Context) (any, error) {
		return []any{1, math.Inf(1)}, nil
	}})
	status, body := get(t, s, "/status")
	must.Eq(t, http.StatusInternalServerError, status)
	must.StrNotContains(t, body, "1")
}

func TestUnknownPathsAndMethods(t *testing.T) {
	s := New(Config{})
	for _, path := range []string{"/", "/debug/pprof/", "/debug/vars/x", "/metrics"} {
		status, _ := get(t, s, path)
		must.Eq(t, http.StatusNotFound, status)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/readyz", nil))
	must.Eq(t, http.StatusMethodNotAllowed, w.Code)
}

func TestConcurrentRequestsAreLimited(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	s := New(Config{Status: func(context.Context) (any, error) {
		entered <- struct{}{}
		<-release
		return 1, nil
	}})
	var wg sync.WaitGroup
	for range maxInFlight {
		wg.Go(func() {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/status", nil))
		})
		<-entered
	}
	status, _ := get(t, s, "/status")
	must.Eq(t, http.StatusServiceUnavailable, status)
	status, _ = get(t, s, "/debug/vars")
	must.Eq(t, http.StatusServiceUnavailable, status)
	status, _ = get(t, s, "/livez")
	must.Eq(t, http.StatusOK, status)
	close(release)
	wg.Wait()
	status, _ = get(t, s, "/debug/vars")
	must.Eq(t, http.StatusOK, status)
}

func TestVarsExposeOnlyOwnCounters(t *testing.T) {
	c := NewCounters(CounterDefinition{Name: "refusals_total", Labels: []string{"shed", "leaving"}}, CounterDefinition{Name: "joins_total"})
	c.Add("refusals_total", "shed", 2)
	c.Add("joins_total", "", 3)
	c.Add("spend_micros_total", "birch", 4)
	c.Add("spend_micros_total", `o"ak`, 5)
	c.Publish("peer", func() any { return map[string]int{"peers": 6} })
	must.Eq(t, map[string]any{
		"refusals_total":     map[string]any{"shed": 2.0, "leaving": 0.0},
		"joins_total":        3.0,
		"spend_micros_total": map[string]any{"birch": 4.0, `o"ak`: 5.0},
		"peer":               map[string]any{"peers": 6.0},
		foldedAdditionsName:  map[string]any{},
	}, vars(t, c))
	c.PublishProcess()
	process := vars(t, c)["process"].(map[string]any)
	must.Positive(t, process["goroutines"].(float64))
	must.Positive(t, process["heap_bytes"].(float64))
	must.Positive(t, process["mapped_bytes"].(float64))
}

func TestLabelsAreBounded(t *testing.T) {
	c := NewCounters(CounterDefinition{Name: "refusals_total", Labels: []string{"shed"}})
	c.maxLabels = 3
	c.Add("refusals_total", "made_up", 7)
	must.Eq(t, 7, c.Value("refusals_total", OtherLabel))
	for i := range 10 {
		c.Add("spend_micros_total", fmt.Sprint(i), 1)
	}
	must.Eq(t, 1, c.Value("spend_micros_total", "2"))
	must.Eq(t, 0, c.Value("spend_micros_total", "3"))
	must.Eq(t, 7, c.Value("spend_micros_total", OtherLabel))
	must.Eq(t, 7, c.Value(foldedAdditionsName, "spend_micros_total"))
	must.Eq(t, 1, c.Value(foldedAdditionsName, "refusals_total"))
}

func TestCountersAreBounded(t *testing.T) {
	c := NewCounters()
	for i := range 3 * maxCounters {
		c.Add(fmt.Sprintf("c%d_total", i), "x", 1)
	}
	must.Eq(t, maxCounters+1, len(vars(t, c)))
	sum := c.Value(OtherLabel, "x")
	for i := range 3 * maxCounters {
		sum += c.Value(fmt.Sprintf("c%d_total", i), "x")
	}
	must.Eq(t, 3*maxCounters, sum)
}

func TestConcurrentAdditions(t *testing.T) {
	c := NewCounters()
	c.maxLabels = 5
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 1000 {
				c.Add("dispatches_total", fmt.Sprint(i%10), 1)
			}
		})
	}
	wg.Wait()
	sum := c.Value("dispatches_total", OtherLabel)
	for i := range 10 {
		sum += c.Value("dispatches_total", fmt.Sprint(i))
	}
	must.Eq(t, 8000, sum)
}

func TestInvalidDefinitionsPanic(t *testing.T) {
	must.Panic(t, func() { NewCounters(CounterDefinition{Name: "refusals"}) })
	must.Panic(t, func() { NewCounters(CounterDefinition{Name: "a_total"}, CounterDefinition{Name: "a_total"}) })
}

func TestServeUntilContextDone(t *testing.T) {
	s := New(Config{Address: "127.0.0.1:0"})
	address, err := s.Listen()
	must.NoError(t, err)
	_, err = New(Config{Address: address.String()}).Listen()
	must.Error(t, err)
	must.Error(t, New(Config{Address: address.String()}).Serve(t.Context()))
	for range 2 { // a supervisor may start it again
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		address, err = s.Listen()
		must.NoError(t, err)
		go func() { done <- s.Serve(ctx) }()
		resp, err := http.Get("http://" + address.String() + "/livez")
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, "live\n", string(body))
		resp.Body.Close()
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	}
}

func TestTLS(t *testing.T) {
	// Only the server's certificate and its trusting client are used.
	tlsSource := httptest.NewTLSServer(http.NotFoundHandler())
	defer tlsSource.Close()
	s := New(Config{Address: "127.0.0.1:0", TLS: tlsSource.TLS})
	address, err := s.Listen()
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Serve(ctx) }()
	resp, err := tlsSource.Client().Get("https://" + address.String() + "/livez")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	resp.Body.Close()
	resp, err = http.Get("http://" + address.String() + "/livez")
	must.NoError(t, err)
	must.Eq(t, http.StatusBadRequest, resp.StatusCode)
	resp.Body.Close()
	cancel()
	must.ErrorIs(t, <-done, context.Canceled)
}

package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/control"
	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/settings"
	"github.com/balsamstair/balsamstair/internal/standin"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/balsamstair/balsamstair/internal/traffic"
	"github.com/shoenig/test/must"
)

const testFile = `revision = 1
currency = "EUR"
[[tier]]
name = "gold"
rank = 1
deadline_ms = 20000
[[tier]]
name = "bronze"
rank = 2
deadline_ms = 20000
[[class]]
name = "engines"
kind = "engine"
prefill_tokens_per_second = 8000
decode_tokens_per_second = 1000
[[class]]
name = "services"
kind = "service"
calls_per_second = 100
[[endpoint]]
name = "e0"
class = "engines"
availability_zone = "a"
address = %q
models = ["chat"]
slots = %d
[[endpoint]]
name = "s0"
class = "services"
availability_zone = "a"
address = %q
models = ["bookings"]
slots = 8
[[route]]
name = "book"
method = "POST"
path = "/bookings"
pool = "bookings"
idempotent = false
tier = "gold"
[[organisation]]
name = "one"
key_sha256 = ["%x"]
default_tier = "gold"
[organisation.tiers]
gold = 50
[[organisation]]
name = "two"
key_sha256 = ["%x"]
default_tier = "bronze"
[organisation.tiers]
bronze = 50
`

// lockedBuffer is a bytes.Buffer for concurrent use; it collects log lines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testInstance is an in-process instance with one engine and one service as
// endpoints.
type testInstance struct {
	url           string
	engineAddress string
	handler       *Handler
	recorder      *standin.Recorder
	log           lockedBuffer
	refused       atomic.Int64
}

// fileStore stores the adopted declared file for the handler.
type fileStore struct {
	file *atomic.Pointer[declared.File]
}

func (c fileStore) HandleEffect(e reducer.Effect) bool {
	if f, ok := e.(reducer.FileAdopted); ok {
		c.file.Store(f.File)
	}
	return true
}

// newTestInstance starts a testInstance whose engine has a short decode step.
func newTestInstance(t testing.TB) *testInstance {
	quick := standin.DefaultEngineSettings()
	quick.DecodeStep, quick.DecodeStepPerRequest = time.Millisecond, 0
	return startTestInstance(t, quick, 8)
}

// newTestInstanceWithSlots starts a testInstance whose engine has the given
// number of slots.
func newTestInstanceWithSlots(t testing.TB, slots int) *testInstance {
	engine := standin.DefaultEngineSettings()
	engine.MaxBatch, engine.DecodeStep, engine.DecodeStepPerRequest = slots, 20*time.Millisecond, 0
	engine.PrefillTokensPerSecond, engine.PrefillChunkTokens = 1e6, 1<<20
	return startTestInstance(t, engine, slots)
}

func startTestInstance(t testing.TB, engine standin.EngineSettings, slots int) *testInstance {
	r := &testInstance{recorder: standin.NewRecorder()}
	r.engineAddress = listen(t, standin.NewEngine(engine, r.recorder))
	services := listen(t, standin.NewService(standin.DefaultServiceSettings(), r.recorder))
	f, err := declared.Parse([]byte(fmt.Sprintf(testFile, r.engineAddress, slots, services,
		sha256.Sum256([]byte("key-one")), sha256.Sum256([]byte("key-two")))))
	must.NoError(t, err)

	const incarnation = 7
	var inForce atomic.Pointer[declared.File]
	client := endpoint.New(endpoint.Config{})
	loop := control.New(reducer.New(reducer.Config{Incarnation: incarnation, Instance: "i0", AvailabilityZone: "a"}, reducer.Instant(boottime.Now())))
	exchange := traffic.New(traffic.Config{Incarnation: incarnation, Client: client, Post: loop.Post, AnswerLimit: 1 << 20, KeptLimit: 1 << 20})
	loop.Use(exchange, fileStore{&inForce})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = loop.Serve(ctx) }()
	loop.Post(reducer.FileOffered{File: f})
	loop.Post(reducer.InstancesListed{Instances: []reducer.Instance{{Name: "i0", AvailabilityZone: "a"}}})
	loop.Post(reducer.EndpointReported{Endpoint: "e0", Report: reducer.EndpointReport{Started: 1}})
	loop.Post(reducer.EndpointReported{Endpoint: "s0", Report: reducer.EndpointReport{Started: 1}})
	loop.Post(reducer.Tick{})
	for ready := false; !ready; time.Sleep(time.Millisecond) {
		must.NoError(t, loop.Query(ctx, func(s *reducer.State) { ready = s.Status().Ready }))
	}
	reports := time.NewTicker(time.Second)
	go func() {
		for {
			select {
			case <-reports.C:
				loop.Post(reducer.EndpointReported{Endpoint: "e0", Report: reducer.EndpointReport{Started: 1}})
				loop.Post(reducer.EndpointReported{Endpoint: "s0", Report: reducer.EndpointReport{Started: 1}})
			case <-done:
				return
			}
		}
	}()
	limits := settings.Defaults().Limits
	limits.BodyBytes = 64 << 10
	limits.BodiesBytes = 256 << 10
	r.handler = NewHandler(Config{
		Instance: "i0", AvailabilityZone: "a", Incarnation: incarnation, Exchange: exchange, File: inForce.Load,
		Minter: ticket.NewMinter(incarnation), Peer: func(uint64) http.RoundTripper { return nil },
		Limits: limits, Log: logline.New(&r.log, "info"),
		CountRefusal: func(refusal.Reason) { r.refused.Add(1) },
	})
	server := httptest.NewServer(r.handler)
	r.url = server.URL
	t.Cleanup(func() {
		server.Close()
		reports.Stop()
		cancel()
		<-done
		client.Close()
	})
	return r
}

func listen(t testing.TB, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

type header map[string]string

func (r *testInstance) send(t testing.TB, method, path, key, body string, h header) (*http.Response, string) {
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	must.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range h {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(text)
}

func parseRefusal(t testing.TB, text string) refusal.Detail {
	var b refusal.Body
	must.NoError(t, json.Unmarshal([]byte(text), &b))
	return b.Error
}

const chatBody = `{"model": "chat", "max_tokens": 5, "stream": %v, "user": "u1", "messages": [{"role": "user", "content": "why?"}]}`

func TestStreamedAnswerIsComplete(t *testing.T) {
	r := newTestInstance(t)
	resp, text := r.send(t, http.MethodPost, chatPath, "key-one", fmt.Sprintf(chatBody, true), nil)
	must.EqOp(t, http.StatusOK, resp.StatusCode)
	must.EqOp(t, "e0", resp.Header.Get(traffic.EndpointHeader))
	must.EqOp(t, "i0", resp.Header.Get(HeaderInstance))
	must.NotEq(t, "", resp.Header.Get(HeaderTicket))
	must.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
	must.EqOp(t, 1, r.recorder.Dispatches("u1"))
}

func TestNonStreamedAnswerIsOneBody(t *testing.T) {
	r := newTestInstance(t)
	resp, text := r.send(t, http.MethodPost, chatPath, "key-one", fmt.Sprintf(chatBody, false), nil)
	must.EqOp(t, http.StatusOK, resp.StatusCode)
	var whole struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	must.NoError(t, json.Unmarshal([]byte(text), &whole))
	must.SliceLen(t, 1, whole.Choices)
	must.EqOp(t, 5, len(strings.Fields(whole.Choices[0].Message.Content)))
}

func TestRefusalsShareOneFormat(t *testing.T) {
	r := newTestInstance(t)
	chat := fmt.Sprintf(chatBody, true)
	for _, c := range []struct {
		name, method, path, key, body string
		header                        header
		reason                        refusal.Reason
	}{
		{"no key", "POST", chatPath, "", chat, nil, refusal.Unauthorised},
		{"wrong key", "POST", chatPath, "key-three", chat, nil, refusal.Unauthorised},
		{"not JSON", "POST", chatPath, "key-one", "{", nil, refusal.BadRequest},
		{"no model", "POST", chatPath, "key-one", `{"messages": []}`, nil, refusal.BadRequest},
		{"unknown model", "POST", chatPath, "key-one", strings.Replace(chat, `"chat"`, `"other"`, 1), nil, refusal.NoEndpoint},
		{"unknown route", "GET", "/nowhere", "key-one", "", nil, refusal.NotFound},
		{"tier of another organisation", "POST", chatPath, "key-two", chat, header{HeaderTier: "gold"}, refusal.TierNotAllowed},
		{"undeclared tier", "POST", chatPath, "key-one", chat, header{HeaderTier: "lead"}, refusal.TierNotAllowed},
		{"deadline not a number", "POST", chatPath, "key-one", chat, header{HeaderDeadline: "soon"}, refusal.BadRequest},
		{"negative deadline", "POST", chatPath, "key-one", chat, header{HeaderDeadline: "-1"}, refusal.BadRequest},
		{"too large", "POST", chatPath, "key-one", strings.Repeat("x", 65<<10), nil, refusal.TooLarge},
		{"not a ticket", "POST", "/bookings", "key-one", "{}", header{HeaderTicket: "T"}, refusal.TicketInvalid},
		{"ticket of an unknown incarnation", "POST", "/bookings", "key-one", "{}", header{HeaderTicket: ticket.NewMinter(9).Mint(1, 1<<62)}, refusal.OutcomeUnknown},
		{"forged ticket", "POST", "/bookings", "key-one", "{}", header{HeaderTicket: ticket.NewMinter(7).Mint(1, 1<<62)}, refusal.TicketInvalid},
		{"no ticket", "POST", "/bookings", "key-one", "{}", nil, refusal.TicketNeeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, text := r.send(t, c.method, c.path, c.key, c.body, c.header)
			d := parseRefusal(t, text)
			must.EqOp(t, c.reason, d.Reason)
			kind, _ := refusal.Lookup(c.reason)
			must.EqOp(t, kind.Status, resp.StatusCode)
			must.EqOp(t, d.RetryAfterMS > 0, resp.Header.Get("Retry-After") != "")
		})
	}
	must.SliceEmpty(t, r.recorder.Runs(""))
}

func TestTicketedRequestRunsOnce(t *testing.T) {
	r := newTestInstance(t)
	body := `{"user": "b1", "chair": 7}`
	_, text := r.send(t, http.MethodPost, "/bookings", "key-one", body, nil)
	d := parseRefusal(t, text)
	must.EqOp(t, refusal.TicketNeeded, d.Reason)
	must.True(t, d.NotRun)
	with := header{HeaderTicket: d.Ticket}
	var answers []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			_, text := r.send(t, http.MethodPost, "/bookings", "key-one", body, with)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, text)
		})
	}
	wg.Wait()
	for _, a := range answers {
		must.EqOp(t, answers[0], a)
	}
	must.EqOp(t, 1, r.recorder.Dispatches("b1"))
	_, text = r.send(t, http.MethodPost, "/bookings", "key-one", `{"user": "b2"}`, with)
	must.EqOp(t, refusal.TicketInvalid, parseRefusal(t, text).Reason)
	_, text = r.send(t, http.MethodPost, "/bookings", "key-two", body, header{HeaderTicket: d.Ticket, HeaderTier: "bronze"})
	must.EqOp(t, refusal.TicketInvalid, parseRefusal(t, text).Reason)
	must.EqOp(t, 0, r.recorder.Dispatches("b2"))
}

// TestRunOfLostInstanceIsResumed starts a run at the engine under the ID of an
// instance that is unreachable, and sends the request again to this instance.
func TestRunOfLostInstanceIsResumed(t *testing.T) {
	r := newTestInstance(t)
	body := fmt.Sprintf(chatBody, true)
	_, digest := digestRequest("one", http.MethodPost, chatPath, []byte(body))
	lostMinter := ticket.NewMinter(9)
	first, err := http.NewRequest(http.MethodPost, "http://"+r.engineAddress+chatPath, strings.NewReader(body))
	must.NoError(t, err)
	first.Header.Set("X-Request-Id", traffic.WireID(9, 1, digest))
	resp, err := http.DefaultTransport.RoundTrip(first)
	must.NoError(t, err)
	answer, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())

	// A non-streamed answer must not carry the Content-Length of the engine's
	// event stream.
	whole := fmt.Sprintf(chatBody, false)
	_, digest = digestRequest("one", http.MethodPost, chatPath, []byte(whole))
	second, err := http.NewRequest(http.MethodPost, "http://"+r.engineAddress+chatPath, strings.NewReader(body))
	must.NoError(t, err)
	second.Header.Set("X-Request-Id", traffic.WireID(9, 2, digest))
	resp, err = http.DefaultTransport.RoundTrip(second)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	resp, collected := r.send(t, http.MethodPost, chatPath, "key-one", whole, header{HeaderTicket: lostMinter.Mint(2, 1<<62)})
	must.StrContains(t, collected, "chat.completion")
	must.EqOp(t, fmt.Sprintf("%016x-%x", 9, 2), resp.Header.Get(HeaderRequest))

	with := header{HeaderTicket: lostMinter.Mint(1, 1<<62)}
	_, text := r.send(t, http.MethodPost, chatPath, "key-one", body, with)
	must.EqOp(t, string(answer), text)
	_, text = r.send(t, http.MethodPost, chatPath, "key-one", strings.Replace(body, "why?", "how?", 1), with)
	must.EqOp(t, refusal.OutcomeUnknown, parseRefusal(t, text).Reason)
	_, text = r.send(t, http.MethodPost, chatPath, "key-two", body, with)
	must.EqOp(t, refusal.OutcomeUnknown, parseRefusal(t, text).Reason)
	must.EqOp(t, 2, r.recorder.Dispatches("u1"))
}

func TestLogOmitsSecretsAndWritesOneLinePerEvent(t *testing.T) {
	r := newTestInstance(t)
	r.send(t, http.MethodPost, chatPath, "key-one", fmt.Sprintf(chatBody, true), header{HeaderTier: "gold"})
	r.send(t, "M", "/x%0Aevent=forged", "key-one", "secret prompt", header{HeaderTier: "a\tb"})
	must.StrNotContains(t, r.log.String(), "key-one")
	must.StrNotContains(t, r.log.String(), "why?")
	must.StrNotContains(t, r.log.String(), "secret")
	for _, line := range strings.Split(strings.TrimSpace(r.log.String()), "\n") {
		must.StrContains(t, line, "event=request")
	}
}

// FuzzRequest checks that each generated request receives a final answer, and
// that refusals have the common JSON format.
func FuzzRequest(f *testing.F) {
	f.Add("POST", chatPath, "gold", "1000", "", fmt.Sprintf(chatBody, true))
	f.Add("POST", "/bookings", "", "", "T", "{}")
	f.Add("GET", "/bookings/..//", "bronze", "x", "", "")
	f.Add("POST", chatPath, "", "", "", `{"model": 5, "messages": {}}`)
	r := newTestInstance(f)
	f.Fuzz(func(t *testing.T, method, path, tier, deadline, ticket, body string) {
		req, err := http.NewRequest(method, "http://caller"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer key-one")
		req.Header.Set(HeaderTier, tier)
		req.Header.Set(HeaderDeadline, deadline)
		req.Header.Set(HeaderTicket, ticket)
		w := httptest.NewRecorder()
		r.handler.ServeHTTP(w, req)
		if w.Header().Get(traffic.EndpointHeader) == "" {
			must.NotEq(t, "", string(parseRefusal(t, w.Body.String()).Reason))
		}
	})
}

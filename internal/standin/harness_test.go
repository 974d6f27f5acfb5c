package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// harness serves stand-ins in fake time.
type harness struct {
	t        *testing.T
	pipes    *Pipes
	client   *http.Client
	recorder *Recorder
	closers  []func()
}

func withHarness(t *testing.T, test func(t *testing.T, b *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &harness{t: t, pipes: NewPipes(), recorder: NewRecorder()}
		transport := b.pipes.Transport()
		b.client = &http.Client{Transport: transport}
		defer b.pipes.Close()
		defer transport.CloseIdleConnections()
		defer func() {
			for _, closeStandin := range b.closers {
				closeStandin()
			}
		}()
		test(t, b)
	})
}

// fastEngine returns settings with a decode step of 10 ms plus 1 ms for each
// request of the batch, and with 1000 prompt tokens a second.
func fastEngine() EngineSettings {
	s := DefaultEngineSettings()
	s.DecodeStep = 10 * time.Millisecond
	s.DecodeStepPerRequest = time.Millisecond
	s.PrefillTokensPerSecond = 1000
	s.PrefillChunkTokens = 1 << 20
	s.DisconnectGrace = time.Second
	return s
}

func (b *harness) engine(s EngineSettings) *Engine {
	e := NewEngine(s, b.recorder)
	b.closers = append(b.closers, e.Close)
	b.pipes.Serve("engine:80", e)
	return e
}

func chat(user, prompt string, tokens int) ChatRequest {
	return ChatRequest{
		Model: "m", Messages: []Message{{Role: "user", Content: prompt}},
		MaxTokens: tokens, Stream: true, User: user,
	}
}

// receivedAnswer is an answer as the caller received it.
type receivedAnswer struct {
	status int
	// id is the request ID in the response.
	id       string
	events   []string
	text     string
	usage    Usage
	complete bool
	err      error
	first    time.Duration
	total    time.Duration
}

func (b *harness) request(method, path, id string, body any) *http.Request {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		must.NoError(b.t, err)
		reader = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(b.t.Context(), method, "http://engine"+path, reader)
	must.NoError(b.t, err)
	r.Header.Set(requestIDHeader, id)
	return r
}

func (b *harness) send(id string, c ChatRequest) receivedAnswer {
	return b.readAnswer(b.request(http.MethodPost, "/v1/chat/completions", id, c))
}

// readAnswer reads a streamed answer to its end.
func (b *harness) readAnswer(r *http.Request) receivedAnswer {
	start := time.Now()
	response, err := b.client.Do(r)
	if err != nil {
		return receivedAnswer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := receivedAnswer{status: response.StatusCode, id: response.Header.Get(requestIDHeader)}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if a.first == 0 {
			a.first = time.Since(start)
		}
		a.addEvent(b.t, data)
	}
	a.err = lines.Err()
	a.total = time.Since(start)
	return a
}

func (a *receivedAnswer) addEvent(t *testing.T, data string) {
	if data == "[DONE]" {
		a.complete = true
		return
	}
	a.events = append(a.events, data)
	var c Chunk
	must.NoError(t, json.Unmarshal([]byte(data), &c))
	a.text += c.Choices[0].Delta.Content
	if c.Usage != nil {
		a.usage = *c.Usage
	}
}

// sendAsync sends a request in the background.
func (b *harness) sendAsync(id string, c ChatRequest) <-chan receivedAnswer {
	done := make(chan receivedAnswer, 1)
	go func() { done <- b.send(id, c) }()
	return done
}

// get reads a JSON document and returns the HTTP status.
func (b *harness) get(path string, into any) int {
	response, err := b.client.Get("http://engine" + path)
	must.NoError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(b.t, err)
	if response.StatusCode == http.StatusOK {
		must.NoError(b.t, json.Unmarshal(body, into))
	}
	return response.StatusCode
}

func (b *harness) post(path string, body any) int {
	response, err := b.client.Do(b.request(http.MethodPost, path, "", body))
	must.NoError(b.t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

// prompt returns a prompt of the given length that repeats a name.
func prompt(name string, tokens int) string {
	line := fmt.Sprintf("%-*s", blockBytes, name)
	return strings.Repeat(line, tokens*BytesPerToken/blockBytes)
}

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

// bench serves stand-ins in fake time.
type bench struct {
	t        *testing.T
	pipes    *Pipes
	client   *http.Client
	recorder *Recorder
	closers  []func()
}

func withBench(t *testing.T, test func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, pipes: NewPipes(), recorder: NewRecorder()}
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

// quickEngine decodes a token in 10 ms and 1 ms more for each request of the
// batch, and reads 1000 prompt tokens a second.
func quickEngine() EngineSettings {
	s := DefaultEngineSettings()
	s.DecodeStep = 10 * time.Millisecond
	s.DecodeStepPerRequest = time.Millisecond
	s.PrefillTokensPerSecond = 1000
	s.PrefillChunkTokens = 1 << 20
	s.DisconnectGrace = time.Second
	return s
}

func (b *bench) engine(s EngineSettings) *Engine {
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

// answer is what a caller made of a response.
type answer struct {
	status int
	// id is the request that the answer names.
	id     string
	events []string
	text   string
	usage  Usage
	whole  bool
	err    error
	first  time.Duration
	total  time.Duration
}

func (b *bench) request(method, path, id string, body any) *http.Request {
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

func (b *bench) ask(id string, c ChatRequest) answer {
	return b.read(b.request(http.MethodPost, "/v1/chat/completions", id, c))
}

// read reads a streamed answer to its end.
func (b *bench) read(r *http.Request) answer {
	begun := time.Now()
	response, err := b.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, id: response.Header.Get(requestIDHeader)}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if a.first == 0 {
			a.first = time.Since(begun)
		}
		a.take(b.t, data)
	}
	a.err = lines.Err()
	a.total = time.Since(begun)
	return a
}

func (a *answer) take(t *testing.T, data string) {
	if data == "[DONE]" {
		a.whole = true
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

// askAsync asks in the background.
func (b *bench) askAsync(id string, c ChatRequest) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- b.ask(id, c) }()
	return done
}

// get reads a JSON document and returns the status.
func (b *bench) get(path string, into any) int {
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

func (b *bench) post(path string, body any) int {
	response, err := b.client.Do(b.request(http.MethodPost, path, "", body))
	must.NoError(b.t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

// prompt returns a prompt of a length in tokens that begins with a name.
func prompt(name string, tokens int) string {
	line := fmt.Sprintf("%-*s", blockBytes, name)
	return strings.Repeat(line, tokens*BytesPerToken/blockBytes)
}

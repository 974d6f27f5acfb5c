package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// attemptTimeout is how long a caller waits for a final answer. It exceeds the
// longest tier deadline plus the longest pause of a process.
const attemptTimeout = 20*time.Second + livenessTimeout

// kind is the kind of a request.
type kind string

const (
	streamedChat    kind = "streamed"
	nonStreamedChat kind = "non-streamed"
	booking         kind = "booking"
)

// requestSpec describes the request that one attempt sends.
type requestSpec struct {
	// intent groups all requests that a caller sends for the same purpose.
	intent string
	// marker is in the body and identifies one request. A caller re-sends a
	// marker only with the ticket of its first send.
	marker       string
	kind         kind
	tier         string
	organisation string
	prompt       string
	tokens       int
	ticket       string
	deadlineMS   int
	// poison marks a body that crashes engines. Its marker is re-sent as a new
	// request.
	poison bool
	// disconnectAfter makes the caller disconnect after this many events.
	disconnectAfter int
}

func (a *requestSpec) chatRequest() standin.ChatRequest {
	return standin.ChatRequest{
		Model: chatPool, MaxTokens: a.tokens, Stream: a.kind == streamedChat, User: a.marker,
		Messages: []standin.Message{{Role: "user", Content: a.prompt}},
	}
}

// attempt is one request that a caller sent and the response to it.
type attempt struct {
	requestSpec
	to         *instance
	process    *process
	begin, end time.Time

	status    int
	endpoint  string
	requestID string
	// receivedTicket is the ticket in the response.
	receivedTicket string
	complete       bool
	refusal        *refusal.Detail
	// incomplete reports that an answer started and visibly did not complete.
	// abortReason is the reason that the stream gave for it.
	incomplete  bool
	abortReason refusal.Reason
	// disconnected reports that the caller itself closed the connection.
	disconnected bool
	// connErr is the error of a connection that returned no answer.
	connErr error
	// answerError describes a guarantee that the answer itself violates.
	answerError string
}

// outcome returns the result of an attempt for tables and traces.
func (a *attempt) outcome() string {
	switch {
	case a.answerError != "":
		return "wrong"
	case a.complete:
		return "complete"
	case a.refusal != nil:
		return string(a.refusal.Reason)
	case a.disconnected:
		return "caller disconnected"
	case a.incomplete:
		return "incomplete"
	default:
		return "connection failed"
	}
}

func (a *attempt) String() string {
	s := fmt.Sprintf("%s-%s to=%s %s tier=%s marker=%s ticket=%.16s outcome=%q status=%d request=%s endpoint=%s",
		a.begin.Format(traceTimeFormat), a.end.Format(traceTimeFormat), a.to.name, a.kind, a.tier, a.marker, a.ticket, a.outcome(), a.status, a.requestID, a.endpoint)
	if a.refusal != nil {
		s += fmt.Sprintf(" not_run=%v", a.refusal.NotRun)
	}
	if a.abortReason != "" {
		s += " abort_reason=" + string(a.abortReason)
	}
	if a.connErr != nil {
		s += " error=" + a.connErr.Error()
	}
	if a.answerError != "" {
		s += " answer_error=" + a.answerError
	}
	return s
}

// callers sends attempts and records them.
type callers struct {
	site   *site
	client *http.Client

	mu       sync.Mutex
	attempts []*attempt
}

func newCallers(s *site) *callers {
	dialer := &net.Dialer{Timeout: attemptTimeout}
	return &callers{site: s, client: &http.Client{Transport: &http.Transport{
		// Each attempt uses a new connection: net/http retries requests by
		// itself only on reused connections.
		DisableKeepAlives: true,
		DialContext:       dialer.DialContext,
	}}}
}

func (c *callers) all() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.attempts...)
}

// send makes one attempt and waits until it ends. onHead, if not nil, is called
// when the response headers arrive.
func (c *callers) send(to *instance, spec requestSpec, onHead func(*attempt)) *attempt {
	a := &attempt{requestSpec: spec, to: to, process: to.current(), begin: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	resp, err := c.client.Do(a.request(ctx))
	if err != nil {
		a.connErr = err
	} else {
		a.status = resp.StatusCode
		a.endpoint = resp.Header.Get("Balsam-Endpoint")
		a.requestID = resp.Header.Get("Balsam-Request")
		a.receivedTicket = resp.Header.Get("Balsam-Ticket")
		if onHead != nil {
			onHead(a)
		}
		a.readAnswer(resp)
		_ = resp.Body.Close()
	}
	a.end = time.Now()
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

func (a *attempt) request(ctx context.Context) *http.Request {
	path, body := "/v1/chat/completions", any(a.chatRequest())
	if a.kind == booking {
		path, body = bookingPath, map[string]string{"user": a.marker, "chair": "ladder-back"}
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.to.callerAddress+path, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+keyOf(a.organisation))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Balsam-Tier", a.tier)
	if a.ticket != "" {
		req.Header.Set("Balsam-Ticket", a.ticket)
	}
	if a.deadlineMS > 0 {
		req.Header.Set("Balsam-Deadline-Ms", fmt.Sprint(a.deadlineMS))
	}
	return req
}

// readAnswer reads the body and records the result of the attempt.
func (a *attempt) readAnswer(resp *http.Response) {
	switch {
	case a.endpoint == "":
		a.readRefusal(resp.Body)
	case a.kind == streamedChat:
		a.readStream(resp.Body)
	default:
		a.readBody(resp.Body)
	}
}

func (a *attempt) readRefusal(body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		a.connErr = err
		return
	}
	var r refusal.Body
	if err := json.Unmarshal(b, &r); err != nil || r.Error.Reason == "" {
		a.answerError = fmt.Sprintf("status %d has neither an endpoint nor a reason: %.200q", a.status, b)
		return
	}
	a.refusal = &r.Error
	if a.requestID == "" {
		a.requestID = r.Error.RequestID
	}
	if r.Error.Ticket != "" {
		a.receivedTicket = r.Error.Ticket
	}
}

func (a *attempt) readBody(body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		a.incomplete = true
		return
	}
	if a.status != http.StatusOK {
		a.answerError = fmt.Sprintf("status %d from an endpoint that never returns it", a.status)
		return
	}
	a.complete = true
	if a.kind == booking {
		var answer standin.ServiceAnswer
		if err := json.Unmarshal(b, &answer); err != nil || answer.User != a.marker {
			a.answerError = fmt.Sprintf("complete answer belongs to another request or is truncated: %.200q", b)
		}
		return
	}
	var chunk standin.Chunk
	if err := json.Unmarshal(b, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Message == nil {
		a.answerError = fmt.Sprintf("not a chat completion: %.200q", b)
		return
	}
	a.checkText(chunk.Choices[0].Message.Content)
}

// checkText compares the text of a complete answer with the expected text.
func (a *attempt) checkText(text string) {
	request := a.chatRequest()
	if text != request.Answer() {
		a.answerError = fmt.Sprintf("complete answer belongs to another request or is truncated: %d bytes of %d", len(text), len(request.Answer()))
	}
}

// readStream reads server-sent events until the end of the body.
func (a *attempt) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	var text strings.Builder
	done, failing, events := false, false, 0
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failing = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case failing:
			a.readStreamError(data)
		case data == "[DONE]":
			done = true
		default:
			text.WriteString(contentOf(data))
			events++
			if a.disconnectAfter > 0 && events >= a.disconnectAfter {
				a.disconnected = true
				a.checkPrefix(text.String())
				return
			}
		}
	}
	a.checkPrefix(text.String())
	clean := lines.Err() == nil
	switch {
	case done && failing:
		a.answerError = "an answer that ended with an error contains [DONE]"
	case done && clean:
		a.complete = true
		a.checkText(text.String())
	case clean && !failing:
		a.answerError = "an incomplete answer looks complete: the stream ended cleanly without [DONE]"
	default:
		a.incomplete = true
	}
}

// checkPrefix checks that an incomplete answer contains no part of another
// answer.
func (a *attempt) checkPrefix(text string) {
	request := a.chatRequest()
	if !strings.HasPrefix(request.Answer(), text) {
		a.answerError = "a part of the answer belongs to another request"
	}
}

func (a *attempt) readStreamError(data string) {
	var r refusal.Body
	if json.Unmarshal([]byte(data), &r) == nil {
		a.abortReason = r.Error.Reason
		if r.Error.NotRun {
			a.answerError = "an answer that had started was aborted with not_run"
		}
	}
}

func contentOf(data string) string {
	var chunk standin.Chunk
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Delta == nil {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

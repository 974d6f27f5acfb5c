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

// attemptTimeout is how long a caller waits for a final answer: longer than
// the deadline of every tier and the longest pause together.
const attemptTimeout = 20*time.Second + liveness

// kind tells what a request asks for.
type kind string

const (
	streamedChat kind = "streamed"
	wholeChat    kind = "whole"
	booking      kind = "booking"
)

// ask is what one attempt sends.
type ask struct {
	// intent groups the tries of one thing that a caller wants done.
	intent string
	// marker is in the body and names one request: a caller sends a marker
	// again only with the ticket that it was first sent with.
	marker       string
	kind         kind
	tier         string
	organisation string
	prompt       string
	tokens       int
	ticket       string
	deadlineMS   int
	// poison bodies crash engines; their marker is sent again as a new
	// request.
	poison bool
	// leaveAfter makes the caller go away after so many events.
	leaveAfter int
}

func (a *ask) chat() standin.ChatRequest {
	return standin.ChatRequest{
		Model: chatPool, MaxTokens: a.tokens, Stream: a.kind == streamedChat, User: a.marker,
		Messages: []standin.Message{{Role: "user", Content: a.prompt}},
	}
}

// attempt is what a caller sent and what it was told.
type attempt struct {
	ask
	to         *instance
	process    *process
	begin, end time.Time

	status    int
	served    string
	requestID string
	// ticketGiven came with the answer.
	ticketGiven string
	whole       bool
	refused     *refusal.Detail
	// cut says that an answer began and visibly did not end; said is the
	// reason that came with it.
	cut  bool
	said refusal.Reason
	// left says that the caller itself went away.
	left bool
	// failed is the error of a connection that brought no answer.
	failed error
	// wrong is a broken promise that the answer itself shows.
	wrong string
}

// outcome names the end of an attempt for tables and traces.
func (a *attempt) outcome() string {
	switch {
	case a.wrong != "":
		return "wrong"
	case a.whole:
		return "whole"
	case a.refused != nil:
		return string(a.refused.Reason)
	case a.left:
		return "caller left"
	case a.cut:
		return "cut"
	default:
		return "connection failed"
	}
}

func (a *attempt) String() string {
	s := fmt.Sprintf("%s-%s to=%s %s tier=%s marker=%s ticket=%.16s outcome=%q status=%d request=%s served=%s",
		a.begin.Format(clock), a.end.Format(clock), a.to.name, a.kind, a.tier, a.marker, a.ticket, a.outcome(), a.status, a.requestID, a.served)
	if a.refused != nil {
		s += fmt.Sprintf(" not_run=%v", a.refused.NotRun)
	}
	if a.said != "" {
		s += " said=" + string(a.said)
	}
	if a.failed != nil {
		s += " error=" + a.failed.Error()
	}
	if a.wrong != "" {
		s += " wrong=" + a.wrong
	}
	return s
}

// callers sends attempts and keeps them.
type callers struct {
	site   *site
	client *http.Client

	mu       sync.Mutex
	attempts []*attempt
}

func newCallers(s *site) *callers {
	dialer := &net.Dialer{Timeout: attemptTimeout}
	return &callers{site: s, client: &http.Client{Transport: &http.Transport{
		// A connection of its own for each attempt: net/http repeats requests
		// by itself only on used connections.
		DisableKeepAlives: true,
		DialContext:       dialer.DialContext,
	}}}
}

func (c *callers) all() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.attempts...)
}

// send makes one attempt and waits for its end. onHead, if not nil, is called
// when an answer begins.
func (c *callers) send(to *instance, k ask, onHead func(*attempt)) *attempt {
	a := &attempt{ask: k, to: to, process: to.current(), begin: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	resp, err := c.client.Do(a.request(ctx))
	if err != nil {
		a.failed = err
	} else {
		a.status = resp.StatusCode
		a.served = resp.Header.Get("Balsam-Endpoint")
		a.requestID = resp.Header.Get("Balsam-Request")
		a.ticketGiven = resp.Header.Get("Balsam-Ticket")
		if onHead != nil {
			onHead(a)
		}
		a.read(resp)
		_ = resp.Body.Close()
	}
	a.end = time.Now()
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

func (a *attempt) request(ctx context.Context) *http.Request {
	path, body := "/v1/chat/completions", any(a.chat())
	if a.kind == booking {
		path, body = bookingPath, map[string]string{"user": a.marker, "chair": "ladder-back"}
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.to.caller+path, bytes.NewReader(b))
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

// read takes the body and decides what the caller was told.
func (a *attempt) read(resp *http.Response) {
	switch {
	case a.served == "":
		a.readRefusal(resp.Body)
	case a.kind == streamedChat:
		a.readStream(resp.Body)
	default:
		a.readWhole(resp.Body)
	}
}

func (a *attempt) readRefusal(body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		a.failed = err
		return
	}
	var r refusal.Body
	if err := json.Unmarshal(b, &r); err != nil || r.Error.Reason == "" {
		a.wrong = fmt.Sprintf("status %d says neither endpoint nor reason: %.200q", a.status, b)
		return
	}
	a.refused = &r.Error
	if a.requestID == "" {
		a.requestID = r.Error.RequestID
	}
	if r.Error.Ticket != "" {
		a.ticketGiven = r.Error.Ticket
	}
}

func (a *attempt) readWhole(body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		a.cut = true
		return
	}
	if a.status != http.StatusOK {
		a.wrong = fmt.Sprintf("status %d of an endpoint that gives none", a.status)
		return
	}
	a.whole = true
	if a.kind == booking {
		var answer standin.ServiceAnswer
		if err := json.Unmarshal(b, &answer); err != nil || answer.User != a.marker {
			a.wrong = fmt.Sprintf("whole answer is not the caller's own or not complete: %.200q", b)
		}
		return
	}
	var chunk standin.Chunk
	if err := json.Unmarshal(b, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Message == nil {
		a.wrong = fmt.Sprintf("no chat completion: %.200q", b)
		return
	}
	a.compare(chunk.Choices[0].Message.Content)
}

// compare checks the text of an answer that looks whole.
func (a *attempt) compare(text string) {
	request := a.chat()
	if text != request.Answer() {
		a.wrong = fmt.Sprintf("whole answer is not the caller's own or not complete: %d bytes of %d", len(text), len(request.Answer()))
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
			a.readError(data)
		case data == "[DONE]":
			done = true
		default:
			text.WriteString(contentOf(data))
			events++
			if a.leaveAfter > 0 && events >= a.leaveAfter {
				a.left = true
				a.checkPrefix(text.String())
				return
			}
		}
	}
	a.checkPrefix(text.String())
	clean := lines.Err() == nil
	switch {
	case done && failing:
		a.wrong = "an answer that ended with an error says that it is done"
	case done && clean:
		a.whole = true
		a.compare(text.String())
	case clean && !failing:
		a.wrong = "a cut answer looks whole: the stream ended cleanly without [DONE]"
	default:
		a.cut = true
	}
}

// checkPrefix sees to it that also of a cut answer nothing is another's.
func (a *attempt) checkPrefix(text string) {
	request := a.chat()
	if !strings.HasPrefix(request.Answer(), text) {
		a.wrong = "a part of the answer is not the caller's own"
	}
}

func (a *attempt) readError(data string) {
	var r refusal.Body
	if json.Unmarshal([]byte(data), &r) == nil {
		a.said = r.Error.Reason
		if r.Error.NotRun {
			a.wrong = "an answer that began was cut with not_run"
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

package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// maxEventBytes bounds one event of an answer.
const maxEventBytes = 1 << 20

// Ended tells how a request ended for its caller.
type Ended string

// The ways in which a request ends.
const (
	// EndedWhole is the whole answer to this request.
	EndedWhole Ended = "whole"
	// EndedWrong is an answer that is whole and not this request's.
	EndedWrong Ended = "wrong"
	// EndedCut is an answer that ended early.
	EndedCut Ended = "cut"
	// EndedRefused is a refusal with a reason.
	EndedRefused Ended = "refused"
	// EndedTimedOut is an answer that the caller stopped waiting for.
	EndedTimedOut Ended = "timed_out"
	// EndedFailed is any other ending, as a broken connection.
	EndedFailed Ended = "failed"
)

// Outcome is what a caller got.
type Outcome struct {
	User   string
	Tier   string
	Ended  Ended
	Reason refusal.Reason
	// NotRun is the claim of a refusal that the request did not run.
	NotRun bool
	// InTime says that a whole answer came by the tier's deadline.
	InTime bool
	// FirstToken and Between are times between events at the caller.
	FirstToken time.Duration
	Between    []time.Duration
	Elapsed    time.Duration
	Tokens     int
}

// answerReader reads one streamed answer and notes the times of its tokens.
type answerReader struct {
	sent    time.Time
	last    time.Time
	outcome *Outcome
	text    strings.Builder
	done    bool
}

// readAnswer fills an outcome from a response to a request.
func readAnswer(response *http.Response, r *Request, sent time.Time, o *Outcome) {
	if response.StatusCode != http.StatusOK {
		readRefusal(response.Body, o)
		return
	}
	reader := &answerReader{sent: sent, last: sent, outcome: o}
	reader.read(response.Body)
	switch {
	case !reader.done:
		o.Ended = EndedCut
	case reader.text.String() != r.Chat.Answer():
		o.Ended = EndedWrong
	default:
		o.Ended = EndedWhole
	}
}

func readRefusal(body io.Reader, o *Outcome) {
	var b refusal.Body
	if json.NewDecoder(io.LimitReader(body, maxEventBytes)).Decode(&b) != nil || b.Error.Reason == "" {
		o.Ended = EndedFailed
		return
	}
	o.Ended = EndedRefused
	o.Reason = b.Error.Reason
	o.NotRun = b.Error.NotRun
}

func (a *answerReader) read(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() && !a.done {
		if data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: ")); ok {
			a.take(data)
		}
	}
}

// take reads one event.
func (a *answerReader) take(data []byte) {
	if string(data) == "[DONE]" {
		a.done = true
		return
	}
	var event struct {
		standin.Chunk
		Error refusal.Detail `json:"error"`
	}
	if json.Unmarshal(data, &event) != nil {
		return
	}
	if event.Error.Reason != "" {
		a.outcome.Reason = event.Error.Reason
		return
	}
	if len(event.Choices) == 0 || event.Choices[0].Delta == nil || event.Choices[0].Delta.Content == "" {
		return
	}
	a.text.WriteString(event.Choices[0].Delta.Content)
	a.token()
}

// token notes the time of a token.
func (a *answerReader) token() {
	now := time.Now()
	if a.outcome.Tokens == 0 {
		a.outcome.FirstToken = now.Sub(a.sent)
	} else {
		a.outcome.Between = append(a.outcome.Between, now.Sub(a.last))
	}
	a.last = now
	a.outcome.Tokens++
}

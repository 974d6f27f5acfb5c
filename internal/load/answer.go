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

// maxEventBytes limits the size of one event of an answer.
const maxEventBytes = 1 << 20

// Ended is how a request ended for its caller.
type Ended string

// The ways in which a request ends.
const (
	// EndedComplete means a complete answer to this request.
	EndedComplete Ended = "whole"
	// EndedWrong means a complete answer that is not the answer to this request.
	EndedWrong Ended = "wrong"
	// EndedIncomplete means an incomplete answer.
	EndedIncomplete Ended = "cut"
	// EndedRefused means a refusal with a reason.
	EndedRefused Ended = "refused"
	// EndedTimedOut means that the caller's timeout passed.
	EndedTimedOut Ended = "timed_out"
	// EndedFailed means any other failure, such as a broken connection.
	EndedFailed Ended = "failed"
)

// Outcome is the result of one request for its caller.
type Outcome struct {
	User   string
	Tier   string
	Ended  Ended
	Reason refusal.Reason
	// NotRun is true if the refusal states that the request did not run.
	NotRun bool
	// InTime is true if a complete answer arrived by the tier's deadline.
	InTime bool
	// FirstToken is the time to the first token, and TokenGaps are the times
	// between tokens, as measured at the caller.
	FirstToken time.Duration
	TokenGaps  []time.Duration
	Elapsed    time.Duration
	Tokens     int
}

// answerReader reads one streamed answer and records the times of its tokens.
type answerReader struct {
	sentAt      time.Time
	lastTokenAt time.Time
	outcome     *Outcome
	text        strings.Builder
	complete    bool
}

// readAnswer reads the response to a request into an outcome.
func readAnswer(response *http.Response, r *Request, sent time.Time, o *Outcome) {
	if response.StatusCode != http.StatusOK {
		readRefusal(response.Body, o)
		return
	}
	reader := &answerReader{sentAt: sent, lastTokenAt: sent, outcome: o}
	reader.read(response.Body)
	switch {
	case !reader.complete:
		o.Ended = EndedIncomplete
	case reader.text.String() != r.Chat.Answer():
		o.Ended = EndedWrong
	default:
		o.Ended = EndedComplete
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
	for lines.Scan() && !a.complete {
		if data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: ")); ok {
			a.handleEvent(data)
		}
	}
}

// handleEvent decodes one event.
func (a *answerReader) handleEvent(data []byte) {
	if string(data) == "[DONE]" {
		a.complete = true
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
	a.recordToken()
}

// recordToken records the arrival time of a token.
func (a *answerReader) recordToken() {
	now := time.Now()
	if a.outcome.Tokens == 0 {
		a.outcome.FirstToken = now.Sub(a.sentAt)
	} else {
		a.outcome.TokenGaps = append(a.outcome.TokenGaps, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
	a.outcome.Tokens++
}

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

var sendCommand = &command{
	name:     "send",
	synopsis: "send one request as a caller and print the response",
	usage:    "[-to ADDRESS] [-key-file FILE] [-model MODEL | -route \"METHOD PATH\"] TEXT",
	description: `Send sends one request to an instance as a caller, and prints the response as it
arrives, then the instance and the endpoint that served it. With -model, TEXT is
the prompt; with -route, it is the request body for a plain service. If the
instance requires a ticket, the request is sent again with the ticket of the
refusal. After a refusal with a retry time the request is sent again, at most
-tries times in all.`,
}

func init() {
	sendCommand.run = runSend
	register(sendCommand)
}

// sendRequest is the request of one run of the command.
type sendRequest struct {
	to, key, method, path, tier, ticket string
	body                                []byte
}

func runSend(args []string, io ioStreams) int {
	flags := sendCommand.newFlagSet(io)
	to := flags.String("to", "127.0.0.1:21201", "caller `address` of an instance")
	keyFile := flags.String("key-file", "", "`file` with the bearer key; if empty, the environment variable BALSAM_KEY is used")
	model := flags.String("model", "", "`model` to use")
	route := flags.String("route", "", "`METHOD PATH` of a request to a plain service")
	tier := flags.String("tier", "", "`tier` to use; the organisation's default if empty")
	tries := flags.Int("tries", 5, "maximum number of attempts")
	if code, ok := sendCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() != 1 || (*model == "") == (*route == "") {
		return sendCommand.usageError(flags, io, "one text and one of -model and -route are needed")
	}
	s := &sendRequest{to: *to, tier: *tier}
	if err := s.build(*model, *route, flags.Arg(0)); err != nil {
		return reportError(io, "send", err)
	}
	if err := s.readKey(*keyFile); err != nil {
		return reportError(io, "send", err)
	}
	for range *tries {
		wait, err := s.attempt(io)
		if err == nil {
			return exitOK
		}
		fmt.Fprintln(io.err, "balsamctl: send:", err)
		if wait < 0 {
			return exitProblem
		}
		time.Sleep(wait)
	}
	return exitProblem
}

func (s *sendRequest) build(model, route, text string) error {
	if route != "" {
		var found bool
		if s.method, s.path, found = strings.Cut(route, " "); !found {
			return errors.New("-route needs a method and a path")
		}
		s.body = []byte(text)
		return nil
	}
	s.method, s.path = http.MethodPost, "/v1/chat/completions"
	var err error
	s.body, err = json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": 8,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return err
}

func (s *sendRequest) readKey(file string) error {
	s.key = os.Getenv("BALSAM_KEY")
	if file == "" {
		return nil
	}
	b, err := os.ReadFile(file)
	s.key = strings.TrimSpace(string(b))
	return err
}

// attempt sends the request once. If it fails, attempt returns the delay before
// the next attempt, or a negative duration if a retry is useless.
func (s *sendRequest) attempt(io ioStreams) (time.Duration, error) {
	req, err := http.NewRequest(s.method, "http://"+s.to+s.path, bytes.NewReader(s.body))
	if err != nil {
		return -1, err
	}
	// Without GetBody, net/http cannot retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{"Balsam-Tier": s.tier, "Balsam-Ticket": s.ticket} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := httphead.RoundTrip(http.DefaultTransport, req)
	if err != nil {
		return time.Second, err
	}
	defer resp.Body.Close()
	if httphead.CloseDelimited(resp) {
		return -1, errors.New("response has no length, so that its end is not known")
	}
	if resp.Header.Get("Balsam-Endpoint") == "" {
		return s.handleRefusal(resp)
	}
	if err := copyAll(io.out, resp.Body); err != nil {
		return -1, err
	}
	fmt.Fprintf(io.out, "\nstatus=%d instance=%s endpoint=%s request=%s\n", resp.StatusCode,
		resp.Header.Get("Balsam-Instance"), resp.Header.Get("Balsam-Endpoint"), resp.Header.Get("Balsam-Request"))
	return 0, nil
}

func copyAll(to io.Writer, from io.Reader) error {
	_, err := io.Copy(to, from)
	return err
}

func (s *sendRequest) handleRefusal(resp *http.Response) (time.Duration, error) {
	var b refusal.Body
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&b); err != nil {
		return -1, fmt.Errorf("status %d without a refusal: %w", resp.StatusCode, err)
	}
	d := b.Error
	err := fmt.Errorf("refused: reason=%s not_run=%v retry_after_ms=%d: %s", d.Reason, d.NotRun, d.RetryAfterMS, d.Message)
	switch {
	case d.Reason == refusal.TicketNeeded:
		s.ticket = d.Ticket
		return 0, err
	case d.RetryAfterMS == 0 || !d.NotRun:
		return -1, err
	}
	// A refused ticket is no longer valid.
	s.ticket = ""
	return time.Duration(d.RetryAfterMS) * time.Millisecond, err
}

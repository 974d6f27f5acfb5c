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

	"github.com/balsamstair/balsamstair/internal/refusal"
)

var sendCommand = &command{
	name:     "send",
	synopsis: "send one request as a caller and show its answer",
	usage:    "[-to ADDRESS] [-key-file FILE] [-model MODEL | -route \"METHOD PATH\"] TEXT",
	about: `Send makes one request of an instance as a caller would, and prints the answer
as it comes, then which instance and endpoint served it. With -model, TEXT is
the prompt; with -route, it is the body of a plain service's call. A ticket
that the instance asks for is taken and sent. A refusal that names a time to
come back is followed up to -tries times.`,
}

func init() {
	sendCommand.run = runSend
	register(sendCommand)
}

// sending is what one run of the command sends.
type sending struct {
	to, key, method, path, tier, ticket string
	body                                []byte
}

func runSend(args []string, io streams) int {
	set := sendCommand.flags(io)
	to := set.String("to", "127.0.0.1:21201", "caller `address` of an instance")
	keyFile := set.String("key-file", "", "`file` with the bearer key; the variable BALSAM_KEY is read where it is empty")
	model := set.String("model", "", "`model` to ask")
	route := set.String("route", "", "`METHOD PATH` of a plain service's call")
	tier := set.String("tier", "", "`tier` to use; the organisation's own default where empty")
	tries := set.Int("tries", 5, "how often to send at most")
	if code, ok := sendCommand.parse(set, args, io); !ok {
		return code
	}
	if set.NArg() != 1 || (*model == "") == (*route == "") {
		return sendCommand.misused(set, io, "one text and one of -model and -route are needed")
	}
	s := &sending{to: *to, tier: *tier}
	if err := s.describe(*model, *route, set.Arg(0)); err != nil {
		return fail(io, "send", err)
	}
	if err := s.readKey(*keyFile); err != nil {
		return fail(io, "send", err)
	}
	for range *tries {
		wait, err := s.once(io)
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

func (s *sending) describe(model, route, text string) error {
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

func (s *sending) readKey(file string) error {
	s.key = os.Getenv("BALSAM_KEY")
	if file == "" {
		return nil
	}
	b, err := os.ReadFile(file)
	s.key = strings.TrimSpace(string(b))
	return err
}

// once sends the request. On a refusal it returns when to come back, or a
// negative time where that cannot help.
func (s *sending) once(io streams) (time.Duration, error) {
	req, err := http.NewRequest(s.method, "http://"+s.to+s.path, bytes.NewReader(s.body))
	if err != nil {
		return -1, err
	}
	// Without this, net/http would send the body again on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{"Balsam-Tier": s.tier, "Balsam-Ticket": s.ticket} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return time.Second, err
	}
	defer resp.Body.Close()
	if resp.Header.Get("Balsam-Endpoint") == "" {
		return s.refused(resp)
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

func (s *sending) refused(resp *http.Response) (time.Duration, error) {
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
	// A refused ticket is used up.
	s.ticket = ""
	return time.Duration(d.RetryAfterMS) * time.Millisecond, err
}

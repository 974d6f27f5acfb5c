package endpoint

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Resuming a cut stream.
const (
	// maxResumes bounds the tries in a row that bring no event.
	maxResumes = 3
	// resumePause is the wait before the second try; it doubles.
	resumePause = 50 * time.Millisecond
)

// Stream reads the events of one request's answer and resumes it at its
// engine when it is cut, so that no event is lost or doubled.
type Stream struct {
	client  *Client
	address string
	id      string
	events  *EventReader
	// offset is the number of events returned.
	offset  int
	failed  int
	resumes int
}

// Stream returns the events of answer, which is the engine's to the request
// id.
func (c *Client) Stream(address, id string, answer *Answer) *Stream {
	return &Stream{client: c, address: address, id: id, events: c.Events(answer)}
}

// Next returns the data of the next event, which is valid until the call
// after it. The error is io.EOF only at the stream's whole end. An ErrCut
// means that resuming it failed too; the context bounds the resuming only.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for {
		event, err := s.events.Next()
		if err == nil {
			s.offset++
			s.failed = 0
			return event, nil
		}
		if !errors.Is(err, ErrCut) || ctx.Err() != nil {
			return nil, err
		}
		if resumeErr := s.resume(ctx); resumeErr != nil {
			return nil, because(err, resumeErr)
		}
	}
}

// resume replaces the cut stream by its rest.
func (s *Stream) resume(ctx context.Context) error {
	for {
		if s.failed == maxResumes {
			return errors.New("too many tries to resume")
		}
		if s.failed > 0 {
			if err := sleep(ctx, resumePause<<(s.failed-1)); err != nil {
				return err
			}
		}
		s.failed++
		answer, err := s.client.Resume(ctx, s.address, s.id, s.offset)
		if err == nil {
			s.resumes++
			s.events = s.client.Events(answer)
			return nil
		}
		if final := new(StatusError); errors.As(err, &final) || errors.Is(err, ErrCrossed) {
			return err
		}
	}
}

// Resumes is how often the stream was resumed.
func (s *Stream) Resumes() int { return s.resumes }

// Offset is the number of events that Next has returned.
func (s *Stream) Offset() int { return s.offset }

// Close ends the reading. Before the stream's end it closes the connection,
// which does not cancel the run.
func (s *Stream) Close() error { return s.events.Close() }

// sleep waits for d or until the context ends, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

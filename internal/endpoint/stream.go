package endpoint

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits for resuming an interrupted stream.
const (
	// maxResumeAttempts limits the consecutive attempts that bring no event.
	maxResumeAttempts = 3
	// resumeBackoff is the delay before the second attempt; it doubles with
	// each further one.
	resumeBackoff = 50 * time.Millisecond
)

// Stream reads the events of a request's answer. If the stream is interrupted,
// it resumes at the engine after the last event, so that no event is lost or
// repeated.
type Stream struct {
	client  *Client
	address string
	id      string
	events  *EventReader
	// offset is the number of events returned.
	offset int
	// resumeAttempts counts the attempts since the last event.
	resumeAttempts int
	resumes        int
}

// Stream returns a Stream over answer, which is the engine's answer to the
// request with the given ID.
func (c *Client) Stream(address, id string, answer *Answer) *Stream {
	return &Stream{client: c, address: address, id: id, events: c.Events(answer)}
}

// Next returns the data of the next event, which is valid until the following
// call. The error is io.EOF only at the end of a complete stream. An error that
// wraps ErrIncomplete means that resuming failed too. The context applies only
// to resuming.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for {
		event, err := s.events.Next()
		if err == nil {
			s.offset++
			s.resumeAttempts = 0
			return event, nil
		}
		if !errors.Is(err, ErrIncomplete) || ctx.Err() != nil {
			return nil, err
		}
		if resumeErr := s.resume(ctx); resumeErr != nil {
			return nil, wrapCause(err, resumeErr)
		}
	}
}

// resume replaces the interrupted stream by the rest of it.
func (s *Stream) resume(ctx context.Context) error {
	for {
		if s.resumeAttempts == maxResumeAttempts {
			return errors.New("too many attempts to resume the stream")
		}
		if s.resumeAttempts > 0 {
			if err := sleep(ctx, resumeBackoff<<(s.resumeAttempts-1)); err != nil {
				return err
			}
		}
		s.resumeAttempts++
		answer, err := s.client.Resume(ctx, s.address, s.id, s.offset)
		if err == nil {
			s.resumes++
			s.events = s.client.Events(answer)
			return nil
		}
		if statusErr := new(StatusError); errors.As(err, &statusErr) || errors.Is(err, ErrRequestIDMismatch) {
			return err
		}
	}
}

// Resumes returns how often the stream was resumed.
func (s *Stream) Resumes() int { return s.resumes }

// Offset returns the number of events that Next has returned.
func (s *Stream) Offset() int { return s.offset }

// Close stops reading. Before the end of the stream it closes the connection,
// which does not cancel the run at the engine.
func (s *Stream) Close() error { return s.events.Close() }

// sleep waits for d. If the context ends first, it returns the context's error.
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

package traffic

import (
	"context"
	"io"
	"net/http"

	"github.com/balsamstair/balsamstair/internal/endpoint"
)

// ResumedAnswer is the answer of a run whose instance is unreachable, read from
// the engine that still holds the run.
type ResumedAnswer struct {
	endpoint string
	call     *Call
	stream   *endpoint.Stream
	header   http.Header
}

// ResumeRun looks for the run with the given WireID at engines, a map from name
// to address, and resumes its stream from the beginning. This is not a
// dispatch: an engine that does not know the ID runs nothing. ResumeRun returns
// nil if no engine holds the run.
func (x *Exchange) ResumeRun(ctx context.Context, id string, engines map[string]string, call *Call) *ResumedAnswer {
	for name, address := range engines {
		a, err := x.cfg.Client.Resume(ctx, address, id, 0)
		if err != nil {
			continue
		}
		header := a.Header.Clone()
		header.Set(EndpointHeader, name)
		return &ResumedAnswer{endpoint: name, call: call, stream: x.cfg.Client.Stream(address, id, a), header: header}
	}
	return nil
}

// Header returns the header of the answer.
func (a *ResumedAnswer) Header() http.Header { return a.header }

// CopyTo writes the event stream to w. It returns nil only if the stream is
// complete.
func (a *ResumedAnswer) CopyTo(ctx context.Context, w io.Writer) error {
	defer a.stream.Close()
	var failed error
	err := a.call.copyEvents(ctx, a.stream, func(p []byte) {
		if failed == nil {
			_, failed = w.Write(p)
		}
	}, func(Usage) {}, func() {})
	if failed != nil {
		return failed
	}
	return err
}

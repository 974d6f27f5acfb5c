package traffic

import (
	"context"
	"io"
	"net/http"

	"github.com/balsamstair/balsamstair/internal/endpoint"
)

// TakenUp is the answer of a run whose instance is gone, read from the engine
// that still has it.
type TakenUp struct {
	endpoint string
	call     *Call
	stream   *endpoint.Stream
	header   http.Header
}

// TakeUp looks for a run by its name at engines, given by name and address,
// and resumes its stream from the beginning. Reading a stream is not a
// dispatch: an engine that does not know the name runs nothing. It returns nil
// where no engine has the run.
func (x *Exchange) TakeUp(ctx context.Context, id string, engines map[string]string, call *Call) *TakenUp {
	for name, address := range engines {
		a, err := x.cfg.Client.Resume(ctx, address, id, 0)
		if err != nil {
			continue
		}
		header := a.Header.Clone()
		header.Set(EndpointHeader, name)
		return &TakenUp{endpoint: name, call: call, stream: x.cfg.Client.Stream(address, id, a), header: header}
	}
	return nil
}

// Header returns the head of the answer.
func (t *TakenUp) Header() http.Header { return t.header }

// CopyTo writes the event stream. It returns nil only for a whole one.
func (t *TakenUp) CopyTo(ctx context.Context, w io.Writer) error {
	defer t.stream.Close()
	var failed error
	err := t.call.copyEvents(ctx, t.stream, func(p []byte) {
		if failed == nil {
			_, failed = w.Write(p)
		}
	}, func(Usage) {}, func() {})
	if failed != nil {
		return failed
	}
	return err
}

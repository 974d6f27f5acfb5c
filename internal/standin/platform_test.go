package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// readValue reads the key "declared" with a query.
func (b *harness) readValue(ctx context.Context, query string) (status int, version, body string, err error) {
	request := b.request(http.MethodGet, "/v1/values/declared"+query, "", nil)
	response, err := b.client.Do(request.WithContext(ctx))
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	bytes, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(versionHeader), string(bytes), err
}

func (b *harness) platform() *Platform {
	p := NewPlatform()
	b.pipes.Serve("engine:80", p)
	return p
}

func TestPlatformLongPoll(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		p := b.platform()
		status, _, _, _ := b.readValue(t.Context(), "")
		must.Eq(t, 404, status)
		p.PublishValue("declared", []byte("one"))
		status, version, body, _ := b.readValue(t.Context(), "")
		must.Eq(t, "200 1 one", joinResponse(status, version, body))

		start := time.Now()
		status, version, body, _ = b.readValue(t.Context(), "?after=1&wait_ms=3000")
		must.Eq(t, "304 1 ", joinResponse(status, version, body))
		must.Eq(t, 3*time.Second, time.Since(start))

		time.AfterFunc(time.Second, func() { p.PublishValue("declared", []byte("two")) })
		start = time.Now()
		status, version, body, _ = b.readValue(t.Context(), "?after=1&wait_ms=3000")
		must.Eq(t, "200 2 two", joinResponse(status, version, body))
		must.Eq(t, time.Second, time.Since(start))

		status, _, _, _ = b.readValue(t.Context(), "?after=x")
		must.Eq(t, 400, status)
		calls := p.Calls()
		must.Eq(t, 5, calls.Total)
		must.Eq(t, 6, calls.Bytes)
		must.Eq(t, 0, calls.Waiting)
		must.Eq(t, map[string]int64{"declared": 5}, calls.ByKey)
	})
}

func joinResponse(status int, version, body string) string {
	return fmt.Sprint(status, " ", version, " ", body)
}

func TestPlatformFaults(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		p := b.platform()
		p.PublishValue("declared", []byte("old"))
		p.SetFaults(PlatformFaults{Stale: true})
		p.PublishValue("declared", []byte("new"))
		status, version, body, _ := b.readValue(t.Context(), "")
		must.Eq(t, "200 1 old", joinResponse(status, version, body))
		status, version, _, _ = b.readValue(t.Context(), "?after=2&wait_ms=10")
		must.Eq(t, "304 1 ", joinResponse(status, version, ""))

		// A waiting watch receives the new value when the staleness ends.
		time.AfterFunc(time.Second, func() { p.SetFaults(PlatformFaults{}) })
		status, version, body, _ = b.readValue(t.Context(), "?after=1&wait_ms=9000")
		must.Eq(t, "200 2 new", joinResponse(status, version, body))

		p.SetFaults(PlatformFaults{Down: true})
		_, _, _, err := b.readValue(t.Context(), "")
		must.Error(t, err)

		p.SetFaults(PlatformFaults{Silent: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, _, _, err = b.readValue(ctx, "")
		must.ErrorIs(t, err, context.DeadlineExceeded)

		p.SetFaults(PlatformFaults{ReadsPerSecond: 20})
		limited := 0
		for range 50 {
			if status, _, _, _ := b.readValue(t.Context(), ""); status == http.StatusTooManyRequests {
				limited++
			}
		}
		must.Eq(t, 30, limited)
		must.Eq(t, 30, p.Calls().Limited)
		time.Sleep(time.Second)
		status, _, _, _ = b.readValue(t.Context(), "")
		must.Eq(t, 200, status)
	})
}

func TestServerRefusesConnectionsDuringOutage(t *testing.T) {
	e := NewEngine(EngineSettings{}, NewRecorder())
	s, err := Listen("127.0.0.1:0", e)
	must.NoError(t, err)
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	load := func() error {
		response, err := client.Get("http://" + s.Address() + "/v1/load")
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	must.NoError(t, load())
	s.interrupt(time.Hour)
	conn, err := net.Dial("tcp", s.Address())
	must.Error(t, err)
	must.Nil(t, conn)
	s.resume()
	must.NoError(t, load())

	e.SetFaults(EngineFaults{RestartMS: time.Hour.Milliseconds()})
	e.Crash()
	must.Error(t, load())
	s.Close()
	s.resume()
	must.Error(t, load())

	_, err = Listen("no address", e)
	must.Error(t, err)
}

package directory

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

func configChange(version, revision int64) Change {
	return Change{Revision: revision, Config: &routing.Config{Version: version, Keys: routing.KeysNotRequired}}
}

// announcingRelay serves the changes of endpoints, announces a configuration and sends
// none.
func announcingRelay(t *testing.T, replica *Replica) string {
	relay := RelayHandler(replica, func() int64 { return 100 })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == relayConfigPath {
			panic(http.ErrAbortHandler)
		}
		relay.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a configuration that is never read, since the revisions from which the
// instance goes on lie behind it, and against one that counts as the newest although a
// newer one was announced.
func TestAnnouncedConfigurationIsReadElsewhere(t *testing.T) {
	replica := NewReplica()
	replica.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Revision: 12, Changes: []Change{putChange("a", 3), configChange(7, 11)}}})
	address := announcingRelay(t, replica)
	s := &scriptedSource{results: []scriptedRead{{batch: Batch{Changes: []Change{configChange(7, 11)}}}}}
	w := NewWatcher(WatcherConfig{
		Source: s, RelayClient: http.DefaultClient, Now: func() int64 { return int64(time.Hour) },
		Plan: func() ReadPlan { return ReadPlan{Relay: address} },
	})
	own := NewReplica()
	listing := w.read(t.Context())
	must.NoError(t, listing.Err)
	must.True(t, listing.ConfigBehind)
	must.Eq(t, []int64{3}, revisions(listing.Batch))
	own.Apply(listing)
	must.Eq(t, 0, own.confirmedAt)
	must.Eq(t, 7, own.announcedConfig)
	// The relay answers polls at once while the configuration is being fetched.
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		u := w.read(t.Context())
		own.Apply(u)
		if len(u.Batch.Changes) > 0 {
			must.Eq(t, 7, u.Batch.Changes[0].Config.Version)
			must.False(t, u.ConfigBehind)
			must.Eq(t, listing.ReadAt, u.ReadAt)
			must.Eq(t, []string{"config"}, s.reads)
			must.Eq(t, listing.ReadAt, own.confirmedAt)
			must.False(t, w.read(t.Context()).ConfigBehind)
			return
		}
		must.True(t, u.ConfigBehind)
	}
	t.Fatal("the configuration was not read")
}

// Guards against an instance that waits for ever for a configuration which the platform
// has lost since it was announced.
func TestConfigurationThatTheCopyLacksIsNotWaitedFor(t *testing.T) {
	w := NewWatcher(WatcherConfig{Now: func() int64 { return 0 }})
	u := Update{From: "10.0.0.2:1", Batch: Batch{ConfigVersion: 9}}
	w.recordConfig(&u)
	must.True(t, u.ConfigBehind)
	u = Update{Full: true, Batch: Batch{Changes: []Change{configChange(7, 11)}}}
	w.recordConfig(&u)
	must.False(t, u.ConfigBehind)
}

// An instance of an earlier release takes the configuration from the changes.
func TestReaderOfEarlierReleaseGetsTheConfiguration(t *testing.T) {
	recorder := httptest.NewRecorder()
	RelayHandler(newListedReplica(), func() int64 { return 100 }).ServeHTTP(recorder,
		httptest.NewRequest(http.MethodGet, relayPath+"?after=0&wait_ms=0", nil))
	must.Eq(t, http.StatusOK, recorder.Code)
	must.True(t, bytes.Contains(recorder.Body.Bytes(), []byte(`"Version":1`)))
}

// slowBody delivers a byte at a time.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(200 * time.Millisecond)
	b.left--
	return copy(p, "x"), nil
}

// Guards against a transfer that is slow but sound and is given up, and against one that
// has stalled and is not.
func TestTransferEndsOnlyWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, p, cancel := stallTimeout(t.Context(), 300*time.Millisecond, 300*time.Millisecond, time.Minute)
		defer cancel()
		all, err := io.ReadAll(ReportProgress(ctx, &slowBody{20}))
		must.NoError(t, err)
		must.Len(t, 20, all)
		must.NoError(t, ctx.Err())
		must.True(t, p.within(time.Millisecond))
		time.Sleep(301 * time.Millisecond)
		must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		must.False(t, p.within(300*time.Millisecond))
	})
}

// Guards against configurations that all readers of an instance get at the same moment,
// so that its link carries nothing else.
func TestConfigTransfersAreBounded(t *testing.T) {
	h := RelayHandler(newListedReplica(), func() int64 { return 100 }).(*relayHandler)
	for range maxConfigTransfers {
		h.transfers <- struct{}{}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, relayConfigPath, nil).WithContext(ctx))
	must.Eq(t, 0, recorder.Body.Len())
	<-h.transfers
	recorder = httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, relayConfigPath, nil))
	must.Positive(t, recorder.Body.Len())
}

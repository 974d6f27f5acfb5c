// Package peertest provides helpers for tests of sessions between peers: a
// Handler that records its calls, frames, certificates, and a proxy that can
// stop passing data.
package peertest

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Waits for an expected condition are bounded by a number of polls rather than
// a deadline, so that a test does not fail because the machine was suspended
// for a while.
const (
	maxPolls     = 20_000
	pollInterval = time.Millisecond
	// MaxWait is for waits that only a duration can bound.
	MaxWait = maxPolls * pollInterval
)

// Eventually polls until the condition holds, and ends the test if it never
// does.
func Eventually(t testing.TB, condition func() bool) {
	t.Helper()
	for range maxPolls {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("timed out waiting for the condition")
}

// Recorder is a Handler of package peer that records its calls.
type Recorder struct {
	// Block, if set, makes every call of Message wait until it is closed.
	Block chan struct{}

	mu     sync.Mutex
	events []string
	frames []*peerpb.Frame
}

// PeerUp records "up", the incarnation and the instance.
func (r *Recorder) PeerUp(inc uint64, hello *peerpb.Hello) {
	r.record(fmt.Sprintf("up %d %s", inc, hello.GetInstance()))
}

// PeerDown records "down" and the incarnation.
func (r *Recorder) PeerDown(inc uint64) { r.record(fmt.Sprintf("down %d", inc)) }

func (r *Recorder) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

// Message records the frame.
func (r *Recorder) Message(_ uint64, f *peerpb.Frame) {
	if r.Block != nil {
		<-r.Block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
}

// Events returns the PeerUp and PeerDown calls recorded so far.
func (r *Recorder) Events() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Frames returns the frames recorded so far.
func (r *Recorder) Frames() []*peerpb.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.frames)
}

// AwaitEvents waits for as many events as are wanted and ends the test unless
// they are equal.
func (r *Recorder) AwaitEvents(t testing.TB, want ...string) {
	t.Helper()
	Eventually(t, func() bool { return len(r.Events()) >= len(want) })
	if got := r.Events(); !slices.Equal(got, want) {
		t.Fatalf("events %q, want %q", got, want)
	}
}

// AwaitFrames waits for at least n frames and returns all recorded ones.
func (r *Recorder) AwaitFrames(t testing.TB, n int) []*peerpb.Frame {
	t.Helper()
	Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.frames) >= n
	})
	return r.Frames()
}

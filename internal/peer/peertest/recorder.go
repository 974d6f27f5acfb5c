// Package peertest helps to test what uses sessions between peers: a Handler
// that records, frames, and certificates.
package peertest

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// A wait for something that must happen is bounded by a number of looks, so
// that a machine that stands still for a while fails no test.
const (
	looks = 20_000
	pause = time.Millisecond
	// Patience is for waits that only a duration can bound.
	Patience = looks * pause
)

// Eventually waits until the condition holds, and ends the test if it never
// does.
func Eventually(t testing.TB, condition func() bool) {
	t.Helper()
	for range looks {
		if condition() {
			return
		}
		time.Sleep(pause)
	}
	t.Fatal("the condition never held")
}

// Recorder is a Handler of package peer that notes what it is told.
type Recorder struct {
	// Block, if set, holds every Message up until it is closed.
	Block chan struct{}

	mu     sync.Mutex
	told   []string
	frames []*peerpb.Frame
}

// PeerUp notes "up", the incarnation and the instance.
func (r *Recorder) PeerUp(inc uint64, hello *peerpb.Hello) {
	r.note(fmt.Sprintf("up %d %s", inc, hello.GetInstance()))
}

// PeerDown notes "down" and the incarnation.
func (r *Recorder) PeerDown(inc uint64) { r.note(fmt.Sprintf("down %d", inc)) }

func (r *Recorder) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, text)
}

// Message keeps the frame.
func (r *Recorder) Message(_ uint64, f *peerpb.Frame) {
	if r.Block != nil {
		<-r.Block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
}

// Told returns the ups and downs so far.
func (r *Recorder) Told() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told)
}

// Frames returns the frames so far.
func (r *Recorder) Frames() []*peerpb.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.frames)
}

// AwaitTold waits for as many ups and downs as are wanted and ends the test
// unless they are these.
func (r *Recorder) AwaitTold(t testing.TB, want ...string) {
	t.Helper()
	Eventually(t, func() bool { return len(r.Told()) >= len(want) })
	if got := r.Told(); !slices.Equal(got, want) {
		t.Fatalf("told %q, want %q", got, want)
	}
}

// AwaitFrames waits for n frames and returns those that there are.
func (r *Recorder) AwaitFrames(t testing.TB, n int) []*peerpb.Frame {
	t.Helper()
	Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.frames) >= n
	})
	return r.Frames()
}

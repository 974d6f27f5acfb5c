package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// newEarlyGateway returns a gateway with endpoints that call answer for three requests of
// four, once they have read the head, and serve the others in full. There are enough of them
// that some are not suspended.
func newEarlyGateway(t *testing.T, c *routing.Config, answer func(conn *net.TCPConn)) *testGateway {
	const endpoints = 60
	var requests atomic.Int32
	serve := func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		switch {
		case err != nil:
		case requests.Add(1)%4 != 0:
			answer(conn.(*net.TCPConn))
		default:
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, streamHead+chunk(event(1))+chunk(event(2))+streamEnd)
		}
	}
	s := newTestGatewayWithMemory(t, 64<<20, 0, nil, nil)
	changes := []directory.Change{configChange(c)}
	for n := range endpoints {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { listener.Close() })
		changes = append(changes, endpointEntry(n, listener.Addr().String()))
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serve(conn)
			}
		}()
	}
	s.publish(changes...)
	eventually(t, func() bool { return s.handler.table.Load() != nil })
	return s
}

// Guards against the part of an answer that a caller takes for all of it: an endpoint answers
// without a length and resets the connection while the request is being written.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe", "stream"} {
		for _, megabytes := range []int{1, 4} {
			for _, reset := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %d MB reset=%t", kind, megabytes, reset), func(t *testing.T) {
					t.Parallel()
					c := config(func(r *routing.Route) { routeKinds[kind](r); r.MaxAttempts = 1 })
					s := newEarlyGateway(t, c, func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, closeDelimitedHead+event(1))
						time.Sleep(time.Millisecond)
						if reset {
							_ = conn.SetLinger(0)
						}
						// Otherwise the close resets the connection, for the unread bytes.
					})
					checkUploads(t, s, bytes.Repeat([]byte("x"), megabytes<<20))
				})
			}
		}
	}
}

// checkUploads sends uploads, some at the same time, and checks that no caller gets an answer
// with the first event only.
func checkUploads(t *testing.T, s *testGateway, body []byte) {
	const tries, parallel = 136, 4
	var group sync.WaitGroup
	var whole atomic.Int32
	for g := range parallel {
		group.Go(func() {
			for n := range tries / parallel {
				response, text, err := s.do(func(r *http.Request) {
					r.Header.Set("Timeout-Ms", "5000")
					// Equal requests that break several connections are taken for the cause.
					r.URL.RawQuery = strconv.Itoa(n*parallel + g)
					r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
				})
				switch {
				case err != nil || response.StatusCode != http.StatusOK:
				case text == event(1)+event(2):
					whole.Add(1)
				default:
					t.Errorf("the caller got %q as the whole answer", text)
				}
			}
		})
	}
	group.Wait()
	must.GreaterEq(t, tries/8, int(whole.Load()))
}

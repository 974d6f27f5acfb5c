package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startBody opens a connection and sends a request's head and a part of its body.
func (r *testInstance) startBody(t *testing.T, declared int, part string) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n%s", chatPath, declared, part)
	must.NoError(t, err)
	return conn
}

// Guards against callers that declare bodies which they do not send: the declared
// bytes were reserved, and others waited without end.
func TestDeclaredBodiesReserveNothing(t *testing.T) {
	r := newTestInstance(t)
	for range 10 {
		r.startBody(t, 64<<10, "x")
	}
	for r.handler.budget.Used() != 10*firstBodyBytes {
		time.Sleep(time.Millisecond)
	}
	response, _ := r.send(t, "POST", chatPath, "key-one", "not JSON", nil)
	must.Eq(t, http.StatusBadRequest, response.StatusCode)
}

// Guards against callers that stop short of the end of their bodies and keep the
// memory: they are refused, with a reason that says that nothing has run.
func TestStalledBodiesGiveWay(t *testing.T) {
	r := newTestInstance(t)
	refused := make(chan *http.Response, 3)
	for n := range 3 {
		conn := r.startBody(t, 64<<10, strings.Repeat("x", 64<<10-1))
		for r.handler.budget.Used() != int64(n+1)<<16 {
			time.Sleep(time.Millisecond)
		}
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				refused <- response
			}
		}()
	}
	response, _ := r.send(t, "POST", chatPath, "key-one", strings.Repeat("x", 60<<10), nil)
	must.Eq(t, http.StatusBadRequest, response.StatusCode)
	got := <-refused
	body, err := io.ReadAll(got.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, got.StatusCode)
	must.StrContains(t, string(body), `"not_run":true`)
}

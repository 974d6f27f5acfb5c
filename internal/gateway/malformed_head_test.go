package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/balsamstair/balsamstair/internal/attribution"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/balsamstair/balsamstair/internal/httphead/headtest"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// Guards against an answer whose head is not well-formed: the caller got it with the field
// in question, or with a body that was not the endpoint's.
func TestMalformedHeadReachesNoCaller(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 16\r\n\r\nid: 1\ndata: d1\n\n"
	for kind, change := range routeKinds {
		for defect, text := range headtest.Defects(sound) {
			t.Run(kind+"/"+defect, func(t *testing.T) {
				t.Parallel()
				c := config(change)
				s := newTestGateway(t, 2, c, replyWith(text, false))
				response, body, err := s.do(func(r *http.Request) { r.Header.Set("Timeout-Ms", "2000") })
				if err == nil {
					must.Eq(t, http.StatusBadGateway, response.StatusCode, must.Sprintf("the caller got %q", body))
					must.Eq(t, "", response.Header.Get("Stamp"))
				}
				if !c.Routes[0].Retryable() {
					must.Len(t, 1, s.requests())
				}
			})
		}
	}
}

// syncBuffer collects log lines.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against an answer of which the lines of its request do not say why it was not
// passed on.
func TestAnswerDefectIsLoggedAndCounted(t *testing.T) {
	for defect, text := range map[string]string{
		string(httphead.InvalidStatus):    "HTTP/1.1 000 OK\r\nId: id-1\r\n\r\n",
		string(httphead.InvalidFieldName): "HTTP/1.1 200 OK\r\nId: id-1\r\nCustom : v\r\n\r\n",
		endpoint.DefectMalformed:          "HTTP/1.1 200 OK\r\nId: id-1\r\nCustom\x01: v\r\n\r\n",
	} {
		t.Run(defect, func(t *testing.T) {
			log := &syncBuffer{}
			s := newTestGateway(t, 1, config(func(r *routing.Route) { r.Kind = routing.Unsafe }), replyWith(text, false))
			s.handler.cfg.Log = logline.New(log, "info")
			_, _, err := s.do(nil)
			must.NoError(t, err)
			must.Eq(t, 1, s.counters.Value(counterDefectiveAnswers, defect))
			for _, event := range []string{"attempt_failed", "request_ended"} {
				eventually(t, func() bool {
					for line := range strings.SplitSeq(log.String(), "\n") {
						if strings.Contains(line, event) && strings.Contains(line, "answer_defect="+defect) {
							return true
						}
					}
					return false
				})
			}
		})
	}
}

// Guards against a refusal with a malformed head that counts as a proof that the request has
// not run: it was sent to another endpoint, or its caller told to repeat it.
func TestMalformedRefusalProvesNothing(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, field := range []string{"Custom : v", "Not-Run : 1", "Retry-After : 1"} {
			t.Run(fmt.Sprint(status, " ", field), func(t *testing.T) {
				t.Parallel()
				s := newTestGateway(t, 2, config(func(r *routing.Route) { r.Kind = routing.Unsafe }), func(conn net.Conn, _ int, r *http.Request) bool {
					_, _ = io.WriteString(conn, rawAnswer(status, r.Header.Get("Id"), "Not-Run: 1\r\n"+field+"\r\n", ""))
					return false
				})
				response, _, err := s.do(func(r *http.Request) { r.Header.Set("Timeout-Ms", "2000") })
				must.NoError(t, err)
				must.False(t, attribution.PromisesNotRun(response.StatusCode), must.Sprint(response.StatusCode))
				must.Len(t, 1, s.requests())
			})
		}
	}
}

// Guards against a caller's request whose length or coding is hidden by a blank: the rest of
// its body would be taken for the next request.
func TestMalformedRequestHeadIsRefused(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	for _, field := range []string{
		"Content-Length : 5", "Transfer-Encoding : chunked", "Custom Name: v", "Custom\t: v", "Custom\x01: v", "Key : k", ": v",
	} {
		t.Run(field, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\n%s\r\n\r\nabcde", field)
			must.NoError(t, err)
			// The server may reset the connection for the bytes that it has not read.
			text, _ := io.ReadAll(conn)
			must.True(t, strings.HasPrefix(string(text), "HTTP/1.1 400 "), must.Sprintf("%q", text))
			must.Eq(t, 1, strings.Count(string(text), "HTTP/1.1 "))
		})
	}
	must.SliceEmpty(t, s.requests())
}

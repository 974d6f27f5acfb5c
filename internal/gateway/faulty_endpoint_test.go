package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/attribution"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// rawAnswer returns an answer with a status, an ID (none if empty) and a body.
func rawAnswer(status int, id, header, body string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n", status, http.StatusText(status), header, len(body))
	if id != "" {
		text += "Id: " + id + "\r\n"
	}
	return text + "\r\n" + body
}

var routeKinds = map[string]func(*routing.Route){
	"safe":      func(r *routing.Route) { r.Kind = routing.Safe },
	"unsafe":    func(r *routing.Route) { r.Kind = routing.Unsafe },
	"stream":    func(r *routing.Route) { r.Kind = routing.Stream },
	"resumable": func(r *routing.Route) { r.Kind, r.Resumable = routing.Stream, true },
}

// misattribution is a way in which an endpoint sends an answer that no request asked for.
type misattribution struct {
	// refuses is set if the endpoint refuses truly before, otherwise it answers.
	refuses bool
	// status and header are those of the additional answer.
	status int
	header string
	// id returns the ID of the additional answer, from that of the request before.
	id func(previous string) string
	// late is set if it arrives once the next request is on the connection.
	late bool
}

// faultyEndpoint spoils each third exchange of a connection and counts the runs by ID.
type faultyEndpoint struct {
	fault misattribution

	mu       sync.Mutex
	runs     map[string]int
	previous map[net.Conn]string
	due      map[net.Conn]bool
	answers  int
}

func (f *faultyEndpoint) reply(conn net.Conn, _ int, r *http.Request) bool {
	id := r.Header.Get("Id")
	f.mu.Lock()
	f.answers++
	spoil := f.answers%3 == 0
	extra := rawAnswer(f.fault.status, f.fault.id(f.previous[conn]), f.fault.header, "")
	text := ""
	if f.due[conn] && f.fault.late {
		text, f.due[conn] = extra, false
	}
	if spoil && f.fault.refuses {
		text += rawAnswer(f.fault.status, f.fault.id(id), f.fault.header, "")
	} else {
		f.runs[id]++
		text += rawAnswer(200, id, "Stamp: s\r\n", "id: 1\ndata: "+id+"\n\n")
	}
	if spoil {
		f.due[conn] = true
		if !f.fault.late {
			text += extra
		}
	}
	f.previous[conn] = id
	f.mu.Unlock()
	_, err := io.WriteString(conn, text)
	return err == nil
}

// Guards against bytes of a faulty endpoint that are taken for the answer to the next
// request on a kept connection: a request that must not be repeated ran twice, or was told
// that it has not run although it ran.
func TestAdditionalAnswersAreNotBelieved(t *testing.T) {
	t.Parallel()
	ids := map[string]func(string) string{
		"no ID":    func(string) string { return "" },
		"old ID":   func(previous string) string { return previous },
		"wrong ID": func(string) string { return "another" },
	}
	const notRun = "Not-Run: 1\r\n"
	faults := map[string]misattribution{}
	for _, status := range []int{503, 429, 408, 421, 500, 200} {
		for idName, id := range ids {
			for _, late := range []bool{true, false} {
				for _, refuses := range []bool{true, false} {
					header := notRun
					if status == 200 || status == 500 {
						header = "Stamp: s\r\n"
						if refuses {
							continue
						}
					}
					faults[fmt.Sprintf("%d, %s, late=%t, refuses=%t", status, idName, late, refuses)] = misattribution{refuses, status, header, id, late}
				}
			}
		}
	}
	for kind, change := range routeKinds {
		for name, fault := range faults {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				checkMisattribution(t, change, fault)
			})
		}
	}
}

func checkMisattribution(t *testing.T, change func(*routing.Route), fault misattribution) {
	f := &faultyEndpoint{fault: fault, runs: map[string]int{}, previous: map[net.Conn]string{}, due: map[net.Conn]bool{}}
	c := config(change)
	s := newTestGateway(t, 2, c, f.reply)
	served := 0
	const requests = 24
	for n := range requests {
		id := fmt.Sprintf("id-%d", n)
		response, body, err := s.do(func(r *http.Request) {
			r.Header.Set("Id", id)
			r.Header.Set("Timeout-Ms", "2000")
		})
		f.mu.Lock()
		runs := f.runs[id]
		f.mu.Unlock()
		if !c.Routes[0].Retryable() {
			must.LessEq(t, 1, runs, must.Sprint(id, " ran more than once"))
		}
		if err != nil {
			continue
		}
		if attribution.PromisesNotRun(response.StatusCode) {
			must.Eq(t, 0, runs, must.Sprint(id, " is told that it has not run"))
		}
		if response.StatusCode == http.StatusOK {
			served++
			must.Eq(t, "id: 1\ndata: "+id+"\n\n", body)
		}
	}
	must.GreaterEq(t, requests/2, served)
}

// Guards against a status of an endpoint that has run a request, which tells the caller that
// it has not run.
func TestRefusalWithoutStatementIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for kind, change := range routeKinds {
			t.Run(fmt.Sprint(kind, " ", status), func(t *testing.T) {
				t.Parallel()
				c := config(func(r *routing.Route) { change(r); r.MaxAttempts = 1 })
				body := strings.Repeat("x", 10)
				s := newTestGateway(t, 1, c, func(conn net.Conn, _ int, r *http.Request) bool {
					_, err := io.WriteString(conn, rawAnswer(status, r.Header.Get("Id"), "Stamp: s\r\n", body))
					return err == nil
				})
				response, _, err := s.do(nil)
				must.NoError(t, err)
				if c.Routes[0].Retryable() {
					must.Eq(t, status, response.StatusCode)
					return
				}
				must.Eq(t, http.StatusBadGateway, response.StatusCode)
				must.Eq(t, "", response.Header.Get("Stamp"))
				must.Len(t, 1, s.requests())
			})
		}
	}
}

// Guards against a stream that broke off and that the next endpoint does not go on with: it
// ended as complete, or with the text of an error in it.
func TestContinuedStreamEndsOnlyWithProof(t *testing.T) {
	const events = 6
	ok := strings.TrimSuffix(streamHead, "\r\n")
	for name, second := range map[string]string{
		"length 0":                 rawAnswer(200, "id-1", "Stamp: s\r\n", ""),
		"empty chunks":             ok + "\r\n" + streamEnd,
		"head, then close":         "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n\r\n",
		"part of a head":           "HTTP/1.1 200 OK\r\nId: id-1\r\nSta",
		"comment":                  ok + "\r\n" + chunk(": none\n\n") + streamEnd,
		"error text":               rawAnswer(200, "id-1", "Stamp: s\r\n", "no such stream\n"),
		"error event":              ok + "\r\n" + chunk("event: error\ndata: no such stream\n\n") + streamEnd,
		"answer as an event":       ok + "\r\n" + chunk(rawAnswer(503, "id-1", "", "busy")+"\n\n") + streamEnd,
		"events from the start":    ok + "\r\n" + chunk(event(1)) + streamEnd,
		"a gap":                    ok + "\r\n" + chunk(event(events+2)) + streamEnd,
		"503":                      rawAnswer(503, "id-1", "Stamp: s\r\n", "busy"),
		"404":                      rawAnswer(404, "id-1", "Stamp: s\r\n", "no such stream"),
		"404 of unlimited size":    rawAnswer(404, "id-1", "Stamp: s\r\n", strings.Repeat("x", maxBufferedAnswerBytes+1)),
		"refusal":                  rawAnswer(503, "id-1", "Not-Run: 1\r\n", ""),
		"bytes that are no answer": "no such stream\r\n\r\n",
	} {
		for _, good := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " third=", good), func(t *testing.T) {
				t.Parallel()
				broken := streamHead
				for n := 1; n <= events; n++ {
					broken += chunk(event(n))
				}
				replies := []rawReply{replyWith(broken, false), replyWith(second, false)}
				if good {
					replies = append(replies, replyWith(streamHead+chunk(event(events+1))+streamEnd, false))
				}
				s := newTestGateway(t, 3, config(func(r *routing.Route) {
					r.Kind, r.Resumable, r.MaxAttempts = routing.Stream, true, len(replies)
				}), replyInSequence(replies...))
				_, body, err := s.do(func(r *http.Request) { r.Header.Set("Timeout-Ms", "4000") })
				want := ""
				for n := 1; n <= events; n++ {
					want += event(n)
				}
				if good {
					must.NoError(t, err)
					must.Eq(t, want+event(events+1), strings.ReplaceAll(body, ": none\n\n", ""))
					return
				}
				must.Error(t, err, must.Sprint("the stream ended as complete"))
				must.Eq(t, want, strings.ReplaceAll(body, ": none\n\n", ""))
			})
		}
	}
}

// Guards against an answer that stops in its head or body and looks whole.
func TestCutAnswersNeverLookWhole(t *testing.T) {
	const body = "id: 1\ndata: d1\n\n"
	framings := map[string]string{
		"length": rawAnswer(200, "id-1", "Stamp: s\r\n", body),
		"chunks": streamHead + chunk(body) + streamEnd,
		"close":  "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nConnection: close\r\n\r\n" + body,
	}
	for kind, change := range routeKinds {
		for framing, whole := range framings {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(kind, " ", framing, " reset=", reset), func(t *testing.T) {
					t.Parallel()
					cut := 0
					s := newTestGateway(t, 1, config(func(r *routing.Route) { change(r); r.MaxAttempts = 1 }), func(conn net.Conn, _ int, _ *http.Request) bool {
						_, _ = io.WriteString(conn, whole[:cut])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					last := len(whole) - 1
					if framing == "close" && !reset {
						// The close alone marks the end of the body.
						last = strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n") - 1
					}
					for cut = 0; cut <= last; cut += 7 {
						response, got, err := s.do(func(r *http.Request) { r.Header.Set("Timeout-Ms", "2000") })
						if err == nil {
							must.NotEq(t, http.StatusOK, response.StatusCode, must.Sprintf("after %d bytes the caller got %q", cut, got))
						}
					}
				})
			}
		}
	}
}

// Guards against a caller that ends its side of the connection while its request waits, and
// reads that it succeeded.
func TestWaitingRequestOfLeavingCallerIsNotAnswered(t *testing.T) {
	release := make(chan struct{})
	s := newTestGateway(t, 1, config(func(r *routing.Route) { r.Kind = routing.Unsafe }), func(net.Conn, int, *http.Request) bool {
		<-release
		return false
	})
	defer close(release)
	var conns []net.Conn
	for n := range 40 {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		must.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nId: id-%d\r\nKey: k\r\nTimeout-Ms: 9000\r\nContent-Length: 0\r\n\r\n", n)
		must.NoError(t, err)
		conns = append(conns, conn)
	}
	eventually(t, func() bool { return s.handler.InFlight() == len(conns) })
	for _, conn := range conns {
		must.NoError(t, conn.(*net.TCPConn).CloseWrite())
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			must.GreaterEq(t, 300, response.StatusCode)
		}
	}
}

// Guards against a caller whose Connection header removes what the gateway adds to its
// request, or what identifies it.
func TestConnectionHeaderRemovesNoSystemHeader(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	for _, list := range []string{"Organisation", "keep-alive, ORGANISATION, remaining-ms", "Id,Key,organisation", "close, Id"} {
		response, _, err := s.do(func(r *http.Request) {
			r.Header["Connection"] = []string{list, "Custom"}
			r.Header.Set("Custom", "c")
		})
		must.NoError(t, err)
		must.Eq(t, 200, response.StatusCode)
		got := s.requests()[len(s.requests())-1].Header
		must.Eq(t, []string{"org"}, got["Organisation"])
		must.Eq(t, []string{"id-1"}, got["Id"])
		must.SliceEmpty(t, got["Custom"])
		must.True(t, slices.ContainsFunc(got["Remaining-Ms"], func(v string) bool { return v != "" }))
	}
}

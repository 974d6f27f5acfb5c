package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// earlyAnswer writes text once the head of a request was read, and then calls finish.
func earlyAnswer(t *testing.T, text string, finish func(conn *net.TCPConn, body io.Reader)) (address string) {
	return listen(t, func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		finish(conn.(*net.TCPConn), request.Body)
	})
}

const partWithoutLength = "HTTP/1.1 200 OK\r\n\r\npart"

// upload is larger than what the kernel buffers.
var upload = bytes.Repeat([]byte("x"), 16<<20)

// Guards against a part of an answer that is taken for all of it: the endpoint resets the
// connection while the request is being written, the write gets the kernel's only report of
// the reset, and the read finds a regular end.
func TestResetDuringUploadDoesNotEndAnswer(t *testing.T) {
	for name, finish := range map[string]func(*net.TCPConn){
		"reset":                   func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"close with unread bytes": func(*net.TCPConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			address := earlyAnswer(t, partWithoutLength, func(c *net.TCPConn, _ io.Reader) {
				<-release
				finish(c)
			})
			client := newClient(t, Config{})
			c, err := client.Connect(t.Context(), address)
			must.NoError(t, err)
			conn := c.pooled.conn
			conn.begin(nil, len(upload))
			written := make(chan error)
			go func() {
				_, err := conn.Write(append([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n"), upload...))
				written <- err
			}()
			part := make([]byte, len(partWithoutLength))
			_, err = io.ReadFull(conn, part)
			must.NoError(t, err)
			close(release)
			must.Error(t, <-written)
			_, err = conn.Read(part)
			must.ErrorIs(t, err, ErrRequestUnwritten)
		})
	}
}

// Guards against a whole answer that is refused because it arrives before the request was
// written.
func TestEarlyAnswerIsReadToItsEnd(t *testing.T) {
	for name, text := range map[string]string{
		"without a length": "HTTP/1.1 413 Too Large\r\n\r\nwhole",
		"with a length":    "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			address := earlyAnswer(t, text, func(c *net.TCPConn, body io.Reader) {
				_ = c.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				_, _ = io.Copy(io.Discard, body)
			})
			client := newClient(t, Config{AcceptCloseDelimited: true})
			answer, body, err := sendAndRead(t, client, address, Call{Method: http.MethodPost, Path: "/", Body: upload})
			must.NoError(t, err)
			must.Eq(t, http.StatusRequestEntityTooLarge, answer.Status)
			must.Eq(t, "whole", body)
		})
	}
}

// Guards against a request that waits for an endpoint which has ended its answer and reads
// no more.
func TestEndOfAnswerDoesNotWaitForStalledUpload(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := earlyAnswer(t, partWithoutLength, func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		<-release
	})
	client := newClient(t, Config{AcceptCloseDelimited: true})
	_, _, err := sendAndRead(t, client, address, Call{Method: http.MethodPost, Path: "/", Body: upload})
	must.ErrorIs(t, err, ErrRequestUnwritten)
	must.Eq(t, DefectRequestUnwritten, AnswerDefect(err))
}

// Guards against a slow upload that is taken for a stalled one.
func TestAwaitGoesOnWhileRequestIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRequestWrite(10)
		w.wrote([]byte("POST / HTTP/1.1\r\n\r\n"))
		go func() {
			for range 10 {
				time.Sleep(writeStallTimeout / 2)
				w.wrote([]byte("x"))
			}
		}()
		must.True(t, w.await())
	})
}

// Guards against an end of the head that is missed because two writes share it.
func TestRequestExtentFindsEndAtAnyWriteBoundary(t *testing.T) {
	const head, body = "POST / HTTP/1.1\r\nA: \r\r\nB: b\r\n\r\n", "\r\n\r\nbody"
	request := []byte(head + body)
	for cut := range len(request) {
		e := requestExtent{bodyLeft: int64(len(body))}
		e.advance(request[:cut])
		must.False(t, e.whole(), must.Sprint(cut))
		e.advance(request[cut:])
		must.True(t, e.whole(), must.Sprint(cut))
	}
}

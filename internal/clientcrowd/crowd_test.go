package clientcrowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Sizes of the crowds, in clients.
const (
	bodyClients      = 80
	fieldClients     = 400
	longFieldClients = 60
	readingClients   = 450
	slowClients      = 500
)

const (
	// legalBodyBytes is just under the limit on bodies, hugeBodyBytes far over it.
	legalBodyBytes = maxBodyBytes - 1
	hugeBodyBytes  = 16 * maxBodyBytes
	// pieceBytes is the size of small pieces.
	pieceBytes = 1 << 10
	// longFieldBytes is the size of a head over the configuration's limit and below
	// that of the server before it knows the configuration.
	longFieldBytes = 250_000
	// pipelinedRequests is how many requests a client sends on a connection.
	pipelinedRequests = 20_000
	// answerBytes is the size of an answer that is read slowly, or of one that is
	// pipelined, at which the process reads it completely before it passes it on.
	answerBytes = 250_000
	// streamEvents is the number of events, of 4 kB each, of a stream.
	streamEvents = 2_000
	// crowdedDescriptors is a limit on descriptors that is lower than the number of
	// slowClients.
	crowdedDescriptors = 400
	// slowInterval is the time between two bytes of clients that are slow.
	slowInterval = 500 * time.Millisecond
)

// legalBody is the body of all clients, shared so that this process needs little memory.
var legalBody = bytes.Repeat([]byte("b"), legalBodyBytes)

// head returns the head of a request; fields are further header lines with their ends.
func head(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nBalsamstair-Attempt-Id: crowd\r\nBalsamstair-Key: " + key +
		"\r\n" + fields + "\r\n"
}

func withLength(path string, length int) string {
	return head(http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", length))
}

func withChunks(path string) string {
	return head(http.MethodPost, path, "Transfer-Encoding: chunked\r\n")
}

// sendAll writes parts one after the other until one fails: the process has closed the
// connection or does not read.
func sendAll(conn net.Conn, parts ...[]byte) (ok bool) {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return false
		}
	}
	return true
}

// sendShortBody sends a body but for its last byte.
func sendShortBody(path string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		sendAll(conn, []byte(withLength(path, legalBodyBytes)), legalBody[1:])
	}
}

// sendPieces sends length bytes in pieces, each framed by frame.
func sendPieces(conn net.Conn, length, piece int, frame func([]byte) []byte) (ok bool) {
	for sent := 0; sent < length; sent += piece {
		if !sendAll(conn, frame(legalBody[:min(piece, length-sent)])) {
			return false
		}
	}
	return true
}

func chunk(data []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data) }

func unframed(data []byte) []byte { return data }

// Guards against memory that a body takes at once, when many clients send all but its
// last byte and stay.
func TestIncompleteBodiesInOnePiece(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.caller, sendShortBody(plainPath))
	p.check(t)
}

// Guards against the same with bodies that arrive in small pieces.
func TestIncompleteBodiesInSmallPieces(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.caller, func(_ int, conn net.Conn) {
		if sendAll(conn, []byte(withLength(plainPath, legalBodyBytes))) {
			sendPieces(conn, legalBodyBytes-1, pieceBytes, unframed)
		}
	})
	p.check(t)
}

// Guards against the same with bodies in chunks, whose length nobody states and whose
// last chunk never comes.
func TestIncompleteBodiesInChunks(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.caller, func(_ int, conn net.Conn) {
		if sendAll(conn, []byte(withChunks(plainPath))) {
			sendPieces(conn, legalBodyBytes, pieceBytes, chunk)
		}
	})
	p.check(t)
}

// barrierTimeout limits how long a client waits for the others, which the process may not
// read.
const barrierTimeout = 3 * time.Second

// barrier lets clients go on together.
type barrier struct {
	missing atomic.Int64
	all     chan struct{}
}

func newBarrier(clients int) *barrier {
	b := &barrier{all: make(chan struct{})}
	b.missing.Store(int64(clients))
	return b
}

// wait waits until all clients have called it or barrierTimeout has passed.
func (b *barrier) wait() {
	if b.missing.Add(-1) == 0 {
		close(b.all)
	}
	select {
	case <-b.all:
	case <-time.After(barrierTimeout):
	}
}

// Guards against many complete bodies that are each within the limit but not together.
func TestCompleteBodies(t *testing.T) {
	p := startProcess(t, descriptors)
	halves := newBarrier(bodyClients)
	connectCrowd(t, bodyClients, p.caller, func(_ int, conn net.Conn) {
		ok := sendAll(conn, []byte(withLength(plainPath, legalBodyBytes)), legalBody[:legalBodyBytes/2])
		halves.wait()
		if ok {
			sendAll(conn, legalBody[legalBodyBytes/2:])
		}
	})
	p.check(t)
}

func sendHugeBody(path string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if sendAll(conn, []byte(withLength(path, hugeBodyBytes))) {
			sendPieces(conn, hugeBodyBytes, legalBodyBytes, unframed)
		}
	}
}

func sendHugeChunks(path string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if sendAll(conn, []byte(withChunks(path))) {
			sendPieces(conn, hugeBodyBytes, 64*pieceBytes, chunk)
		}
	}
}

// Guards against bodies that are read although they state a length over the limit.
func TestHugeBodiesWithLength(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.caller, sendHugeBody(plainPath))
	p.check(t)
}

// Guards against bodies over the limit whose chunks are kept until the limit is reached.
func TestHugeBodiesInChunks(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.caller, sendHugeChunks(plainPath))
	p.check(t)
}

// shortFields returns header lines with different names of length bytes in all.
func shortFields(length int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for n := 0; b.Len() < length; n++ {
		for rest := n; ; rest /= len(digits) {
			b.WriteByte(digits[rest%len(digits)])
			if rest < len(digits) {
				break
			}
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// sendOpenHead sends a head with short fields but for the empty line at its end.
func sendOpenHead(fieldBytes int) func(int, net.Conn) {
	open := []byte(strings.TrimSuffix(head(http.MethodGet, plainPath, shortFields(fieldBytes)), "\r\n"))
	return func(_ int, conn net.Conn) { sendAll(conn, open) }
}

// Guards against heads within the limit whose short fields take many times their size
// once parsed.
func TestShortHeaderFieldsWithinTheLimit(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, fieldClients, p.caller, sendOpenHead(maxHeaderBytes-1_000))
	p.check(t)
}

// Guards against the same with heads over the configuration's limit, which is applied
// only once the head is complete.
func TestShortHeaderFieldsOverTheLimit(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, longFieldClients, p.caller, sendOpenHead(longFieldBytes))
	p.check(t)
}

// sendPipeline sends requests and reads no answer.
func sendPipeline(request string) func(int, net.Conn) {
	const batch = 10
	requests := []byte(strings.Repeat(request, batch))
	return func(_ int, conn net.Conn) {
		for range pipelinedRequests / batch {
			if !sendAll(conn, requests) {
				return
			}
		}
	}
}

// Guards against answers of endpoints that are kept for clients that never read them.
func TestPipelinedRequestsWithUnreadAnswers(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, readingClients, p.caller, sendPipeline(head(http.MethodGet, fmt.Sprintf("%s?bytes=%d", plainPath, answerBytes), "")))
	p.check(t)
}

// Guards against requests with bodies that are kept for clients that never read the
// answers.
func TestPipelinedBodiesWithUnreadAnswers(t *testing.T) {
	p := startProcess(t, descriptors)
	request := withLength(fmt.Sprintf("%s?bytes=%d", plainPath, answerBytes), pieceBytes*64) + string(legalBody[:pieceBytes*64])
	connectCrowd(t, readingClients, p.caller, sendPipeline(request))
	p.check(t)
}

// Guards against connections that stay open without limit because their clients never
// read refusals: they are more than the descriptors.
func TestPipelinedRequestsWithUnreadRefusals(t *testing.T) {
	p := startProcess(t, crowdedDescriptors)
	connectCrowd(t, slowClients, p.caller, sendPipeline(strings.Replace(head(http.MethodGet, plainPath, ""), ": "+key, ": unknown", 1)))
	p.check(t)
}

// Guards against clients that take all descriptors with heads that they send very slowly
// or do not complete.
func TestSlowHeads(t *testing.T) {
	p := startProcess(t, crowdedDescriptors)
	connectCrowd(t, slowClients, p.caller, func(n int, conn net.Conn) {
		text := []byte(head(http.MethodGet, plainPath, ""))
		if !sendAll(conn, text[:len(text)/2]) || n%2 == 0 {
			return
		}
		for _, b := range text[len(text)/2 : len(text)-2] {
			time.Sleep(slowInterval)
			if !sendAll(conn, []byte{b}) {
				return
			}
		}
	})
	p.check(t)
}

// requestAndRead sends a request. Every second client then reads the answer very slowly
// until the connection is closed, the others not at all.
func requestAndRead(path string) func(int, net.Conn) {
	return func(n int, conn net.Conn) {
		if !sendAll(conn, []byte(head(http.MethodGet, path, ""))) || n%2 == 0 {
			return
		}
		go func() {
			for {
				if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
					return
				}
				time.Sleep(slowInterval)
			}
		}()
	}
}

// Guards against complete answers that are kept for clients that do not read them.
func TestSlowReadersOfAnswers(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, readingClients, p.caller, requestAndRead(fmt.Sprintf("%s?bytes=%d", plainPath, answerBytes)))
	p.check(t)
}

// Guards against the same with answers over the size that is kept.
func TestSlowReadersOfLongAnswers(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, readingClients, p.caller, requestAndRead(fmt.Sprintf("%s?bytes=%d", plainPath, hugeBodyBytes)))
	p.check(t)
}

// Guards against events that are kept for clients that do not read them.
func TestSlowReadersOfStreams(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, readingClients, p.caller, requestAndRead(fmt.Sprintf("%s?events=%d", streamPath, streamEvents)))
	p.check(t)
}

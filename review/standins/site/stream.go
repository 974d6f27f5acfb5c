package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// AnswerStream returns an Answerer that sends the events of a stream after the one that
// Last-Event-Id names, each with the version of the runner's software as its data.
func AnswerStream(version string, events int, interval time.Duration) Answerer {
	return func(c net.Conn, r *http.Request) {
		id := r.Header.Get("Balsamstair-Attempt-Id")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Server-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, Stamp(id))
		for n := last + 1; n <= events; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, version)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(interval)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// Stream is what a client has of a stream over its tries.
type Stream struct {
	Last     int
	Versions []string
	Tries    int
}

func (t *Stream) add(version string) {
	for _, v := range t.Versions {
		if v == version {
			return
		}
	}
	t.Versions = append(t.Versions, version)
}

// Follow sends a request for a stream and takes the stream up where it broke, each time
// on a new connection to the next instance, until it has all events, the deadline
// passes, or it has used its tries.
func (s *Site) Follow(client int, path string, events, tries int, patience time.Duration) Stream {
	var out Stream
	first := fmt.Sprintf("%03d-0", client)
	deadline := time.Now().Add(patience)
	for out.Tries < tries && out.Last < events && time.Now().Before(deadline) {
		id := fmt.Sprintf("%03d-%d", client, out.Tries)
		i := s.Instances[(client+out.Tries)%len(s.Instances)]
		c, err := Connect(i)
		if err != nil {
			// Nothing was sent: the platform would have chosen another instance.
			time.Sleep(100 * time.Millisecond)
			continue
		}
		out.Tries++
		more := []string{"Balsamstair-Token-Usage: 543,280"}
		if out.Last > 0 {
			more = append(more, fmt.Sprintf("Last-Event-Id: %d", out.Last), "Resumes: "+first)
		}
		s.Note("client sends %s POST %s to %s %s", id, path, i.Name, strings.Join(more[1:], "; "))
		if c.Send(Request("POST", path, id, time.Until(deadline), "prompt", more...)) == nil {
			status, before := c.receiveEvents(&out, deadline)
			s.Note("client got for %s: status %d, events %d to %d, of versions %v in all", id, status, before+1, out.Last, out.Versions)
			if status == http.StatusServiceUnavailable {
				time.Sleep(300 * time.Millisecond)
			}
		}
		c.Close()
	}
	return out
}

// receiveEvents reads an answer to its end, however it ends.
func (c *Client) receiveEvents(t *Stream, deadline time.Time) (status, before int) {
	before = t.Last
	_ = c.conn.SetReadDeadline(deadline)
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, before
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return answer.StatusCode, before
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			t.Last, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			t.add(text)
		}
	}
	return answer.StatusCode, before
}

package endpoint

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// newBenchEndpoint answers each request, whose body has bodyBytes bytes, with
// the same bytes. It allocates nothing per request, so that the results measure
// the client only.
func newBenchEndpoint(b *testing.B, bodyBytes int, answer string) string {
	text := []byte(answer)
	return listen(b, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				_ = conn.Close()
				return
			}
			if len(line) <= len("\r\n") {
				_, _ = reader.Discard(bodyBytes)
				_, _ = conn.Write(text)
			}
		}
	})
}

var benchBody = bytes.Repeat([]byte("x"), 512)

// benchClients returns functions that post benchBody and return the body of the
// answer, for a plain net/http client and for this package's client.
func benchClients(b *testing.B, address string) map[string]func() io.ReadCloser {
	const path = "/v1/chat/completions"
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	client := newClient(b, Config{IdlePerEndpoint: 64})
	header := http.Header{"Content-Type": {"application/json"}}
	return map[string]func() io.ReadCloser{
		"plain": func() io.ReadCloser {
			response, err := plain.Post("http://"+address+path, "application/json", bytes.NewReader(benchBody))
			must.NoError(b, err)
			return response.Body
		},
		"endpoint": func() io.ReadCloser {
			c := Call{Method: "POST", Path: path, Header: header, Body: benchBody, ID: "1"}
			answer, err := send(b.Context(), b, client, address, c)
			must.NoError(b, err)
			return answer.Body
		},
	}
}

// BenchmarkRequest measures one request with a short answer.
func BenchmarkRequest(b *testing.B) {
	address := newBenchEndpoint(b, len(benchBody), okAnswer)
	for name, post := range benchClients(b, address) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					body := post()
					_, _ = io.Copy(io.Discard, body)
					_ = body.Close()
				}
			})
		})
	}
}

// BenchmarkToken measures one event of streamed answers of 1,000 and 100,000
// events. The plain client only splits the stream into lines.
func BenchmarkToken(b *testing.B) {
	for _, tokens := range []int{1000, 100000} {
		event := chunk(`data: {"id":"1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token"}}]}` + "\n\n")
		text := streamHead + strings.Repeat(event, tokens) + chunk("data: [DONE]\n\n") + "0\r\n\r\n"
		address := newBenchEndpoint(b, len(benchBody), text)
		for name, post := range benchClients(b, address) {
			b.Run(fmt.Sprintf("%s/%d", name, tokens), func(b *testing.B) {
				b.ReportAllocs()
				for left := b.N; left > 0; left -= tokens {
					body := post()
					if name == "plain" {
						for lines := bufio.NewScanner(body); lines.Scan(); {
						}
						_ = body.Close()
						continue
					}
					for events := NewEventReader(body, 0); events.err == nil; {
						_, _ = events.Next()
					}
				}
			})
		}
	}
}

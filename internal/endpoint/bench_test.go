package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// newBenchEndpoint answers each request that has a body of bodyBytes with the
// same bytes and allocates nothing for it, so that the figures are the
// client's.
func newBenchEndpoint(b *testing.B, bodyBytes int, answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	text := []byte(answer)
	serve := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				_ = conn.Close()
				return
			}
			if len(line) > 2 {
				continue
			}
			_, _ = reader.Discard(bodyBytes)
			_, _ = conn.Write(text)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

var benchBody = bytes.Repeat([]byte("x"), 512)

func plainPost(client *http.Client, address string) (*http.Response, error) {
	return client.Post("http://"+address+"/v1/chat/completions", "application/json", bytes.NewReader(benchBody))
}

func endpointPost(b *testing.B, client *Client, address string) *Answer {
	conn, err := client.Connect(b.Context(), address)
	must.NoError(b, err)
	answer, err := conn.Send(b.Context(), Call{
		Method: "POST",
		Path:   "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   benchBody,
		ID:     "1",
	})
	must.NoError(b, err)
	return answer
}

// BenchmarkRequest is one request with a short answer.
func BenchmarkRequest(b *testing.B) {
	address := newBenchEndpoint(b, len(benchBody), okAnswer)
	b.Run("plain", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				response, err := plainPost(client, address)
				must.NoError(b, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	})
	b.Run("endpoint", func(b *testing.B) {
		client := newClient(b, Config{IdlePerEndpoint: 64})
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				answer := endpointPost(b, client, address)
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		})
	})
}

// BenchmarkToken is one streamed event of an answer of 1,000 or 100,000.
func BenchmarkToken(b *testing.B) {
	for name, tokens := range map[string]int{"1000": 1000, "100000": 100000} {
		event := chunk(`data: {"id":"1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token"}}]}` + "\n\n")
		text := streamHead + strings.Repeat(event, tokens) + chunk("data: [DONE]\n\n") + "0\r\n\r\n"
		address := newBenchEndpoint(b, len(benchBody), text)
		b.Run("plain/"+name, func(b *testing.B) {
			client := &http.Client{}
			b.ReportAllocs()
			for left := b.N; left > 0; left -= tokens {
				response, err := plainPost(client, address)
				must.NoError(b, err)
				lines := bufio.NewScanner(response.Body)
				for lines.Scan() {
				}
				_ = response.Body.Close()
			}
		})
		b.Run("endpoint/"+name, func(b *testing.B) {
			client := newClient(b, Config{})
			b.ReportAllocs()
			for left := b.N; left > 0; left -= tokens {
				stream := client.Stream(address, "1", endpointPost(b, client, address))
				for {
					if _, err := stream.Next(b.Context()); err != nil {
						must.Eq(b, io.EOF, err)
						break
					}
				}
			}
		})
	}
}

package endpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func addressOf(server *httptest.Server) string {
	return strings.TrimPrefix(server.URL, "http://")
}

func TestSendReadsAWholeAnswerAndReusesTheConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = w.Write(append([]byte(r.Method+" "+r.URL.RequestURI()+" "), body...))
	}))
	defer server.Close()
	client := New(Config{})
	defer client.Close()

	for i := range 3 {
		conn, err := client.Connect(t.Context(), addressOf(server))
		must.NoError(t, err)
		must.Eq(t, i > 0, conn.Reused())
		answer, err := conn.Send(t.Context(), Call{Method: "POST", Path: "/a%2Fb?c=d", Body: []byte("x"), ID: "r1"})
		must.NoError(t, err)
		body, err := io.ReadAll(answer.Body)
		must.NoError(t, err)
		must.Eq(t, "POST /a%2Fb?c=d x", string(body))
		must.NoError(t, answer.Body.Close())
	}
}

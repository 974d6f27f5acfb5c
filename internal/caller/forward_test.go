package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/balsamstair/balsamstair/internal/httphead/headtest"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/shoenig/test/must"
)

// Guards against the answer of another instance whose head is not well-formed, or whose end
// is not known: the caller got it as it was.
func TestMalformedAnswerOfInstanceIsNotForwarded(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	texts := headtest.Defects(sound)
	texts["no length"] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}"
	r := newTestInstance(t)
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			answer := sound
			address := headtest.Serve(t, func(*http.Request) string { return answer })
			r.handler.cfg.Peer = func(uint64) http.RoundTripper {
				return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
					return new(net.Dialer).DialContext(ctx, network, address)
				}}
			}
			with := header{HeaderTicket: ticket.NewMinter(9).Mint(1, 1<<62)}
			_, body := r.send(t, http.MethodPost, chatPath, "key-one", fmt.Sprintf(chatBody, false), with)
			must.EqOp(t, "{}", body)
			answer = text
			_, body = r.send(t, http.MethodPost, chatPath, "key-one", fmt.Sprintf(chatBody, false), with)
			must.EqOp(t, refusal.OutcomeUnknown, parseRefusal(t, body).Reason)
		})
	}
}

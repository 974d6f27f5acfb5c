package endpoint

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// notForwarded are request headers that would change how net/http sends the
// request: the idempotency keys enable retries, Expect delays the body, and the
// others are set from the Call.
var notForwarded = []string{
	"Idempotency-Key",
	"X-Idempotency-Key",
	"Expect",
	"Content-Length",
	"Host",
}

// defaultUserAgent replaces the default of net/http if the caller sent no
// User-Agent.
const defaultUserAgent = "balsamstair"

// requestHeader returns the header to send: a filtered copy of the call's
// header.
func requestHeader(call Call, idHeader string) http.Header {
	header := make(http.Header, len(call.Header)+2)
	for name, values := range call.Header {
		// A peer may have written a key in another case; it must not bypass the
		// filters below.
		name = textproto.CanonicalMIMEHeaderKey(name)
		header[name] = append(header[name], values...)
	}
	StripHopByHop(header, nil)
	for _, name := range notForwarded {
		delete(header, name)
	}
	delete(header, idHeader)
	if call.ID != "" {
		header[idHeader] = []string{call.ID}
	}
	if len(header["User-Agent"]) == 0 {
		header["User-Agent"] = []string{defaultUserAgent}
	}
	return header
}

// StripHopByHop removes the hop-by-hop headers and those that the Connection
// header lists, but for those that endToEnd names: the sender of a message has no
// say in whether they reach its receiver.
func StripHopByHop(header http.Header, endToEnd func(name string) bool) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if endToEnd == nil || !endToEnd(name) {
				delete(header, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// keepAliveMargin is how long before the endpoint's keep-alive timeout an idle
// connection is closed, so that no request races with the endpoint's close.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, or
// zero if there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, list := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(list, ",") {
			value, ok := strings.CutPrefix(strings.ToLower(strings.TrimSpace(parameter)), "timeout=")
			if !ok {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// idleTimeout returns how long p may stay idle.
func (c *Client) idleTimeout(p *pooledConn) time.Duration {
	if p.keepAlive == 0 {
		return c.config.IdleTimeout
	}
	return min(c.config.IdleTimeout, max(p.keepAlive-keepAliveMargin, p.keepAlive/2))
}

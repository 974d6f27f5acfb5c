package endpoint

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopByHop are the headers that concern one connection alone (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
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

// notForwarded are request headers that would change how the request is sent:
// the keys make net/http repeat requests, Expect makes it wait, and the others
// are set from the Call.
var notForwarded = []string{
	"Idempotency-Key",
	"X-Idempotency-Key",
	"Expect",
	"Content-Length",
	"Host",
}

// defaultUserAgent replaces that of net/http where the caller sent none.
const defaultUserAgent = "balsamstair"

// requestHeader returns a copy of the call's header as it is sent.
func requestHeader(call Call, idHeader string) http.Header {
	header := make(http.Header, len(call.Header)+2)
	for name, values := range call.Header {
		// Keys that a peer wrote in another case must not slip through.
		name = textproto.CanonicalMIMEHeaderKey(name)
		header[name] = append(header[name], values...)
	}
	stripHopByHop(header)
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

// stripHopByHop removes the headers that concern one connection alone, and
// those that the Connection header lists.
func stripHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(header, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// keepAliveMargin is by how much a connection is given up before the endpoint
// closes it, so that no request crosses the close.
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

// idleTimeout is how long an unused link is kept.
func (c *Client) idleTimeout(l *link) time.Duration {
	if l.keepAlive == 0 {
		return c.config.IdleTimeout
	}
	return min(c.config.IdleTimeout, max(l.keepAlive-keepAliveMargin, l.keepAlive/2))
}

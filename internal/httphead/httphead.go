// Package httphead decides whether the head of an HTTP/1.1 response is well-formed, from its
// status code and the names of its fields, and whether only the close of the connection
// marks the end of its body. net/http rejects other malformed heads, and those of requests.
//
// Everything in this program that reads responses asks it: package endpoint for those of
// endpoints and other instances, the clients of the platform and of relays, and balsamctl.
// A head that is not well-formed proves nothing. It was damaged or is no head, so that its
// other fields, and where its body ends, can't be believed either.
package httphead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus is the lowest status code of HTTP (RFC 9110, section 15). net/http accepts any
// three digits.
const minStatus = 100

// maxReportedBytes bounds what an Error repeats of a response.
const maxReportedBytes = 40

// Defect is the kind of an Error, as in logs and metrics.
type Defect string

// The defects of a head.
const (
	// InvalidStatus means a status code below 100.
	InvalidStatus Defect = "status"
	// InvalidFieldName means that the name of a field is not a token (RFC 9110, section
	// 5.1): it contains a blank, for example. net/http keeps such a field under that name
	// and does not apply it, also if it is a Content-Length or Transfer-Encoding.
	InvalidFieldName Defect = "field_name"
)

// Error reports a response whose head is not well-formed.
type Error struct {
	Defect Defect
	// Value is the status code or the beginning of the name.
	Value string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("response head has an invalid %s %q", e.Defect, e.Value)
}

// Check returns an *Error if the head of a response is not well-formed.
func Check(response *http.Response) error {
	if response.StatusCode < minStatus {
		return &Error{Defect: InvalidStatus, Value: fmt.Sprintf("%03d", response.StatusCode)}
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Defect: InvalidFieldName, Value: name[:min(len(name), maxReportedBytes)]}
		}
	}
	return nil
}

// RoundTrip sends a request once. It returns an *Error if the head of the response is not
// well-formed.
func RoundTrip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	return checked(transport.RoundTrip(request))
}

// Do sends a request with a client. It returns an *Error if the head of the response is not
// well-formed.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	return checked(client.Do(request))
}

func checked(response *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// The rest of the response is of no use.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseDelimited reports whether only the close of the connection marks the end of the body.
func CloseDelimited(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// Package standin implements small stand-ins for the systems around
// balsamstair: model engines, plain services and the platform. They implement
// the published protocols, inject faults on demand and record every request
// that they receive, so that tests can compare the requests that ran with the
// responses that callers received.
//
// Every stand-in is an http.Handler. Its control paths are under /standin/ and
// are not part of any published protocol.
package standin

// Package load generates the load of many callers and checks the responses. It
// is open-loop: requests arrive by a schedule, independent of the response
// times. The requests are a pure function of the settings and a seed.
package load

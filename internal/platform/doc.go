// Package platform reads the platform's configuration service and its list of
// instances. It only reads and watches: nothing is ever written there. A
// platform that is down, stale or silent costs its own watch goroutine some
// waiting and nothing else.
package platform

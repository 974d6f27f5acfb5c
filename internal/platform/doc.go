// Package platform reads and watches the platform's configuration service and
// its list of instances. It never writes to the platform. A platform that is
// down, stale or unresponsive delays only the goroutine of its watch.
package platform

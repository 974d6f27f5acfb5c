// Package origin remembers which software began the streams of callers.
//
// What two versions of an endpoint's software write does not fit together, so a
// stream that broke may go on only at the version that began it. The instance at
// which a caller takes it up is mostly not the one that began it, which may be
// dead. So an instance records each attempt that may begin a stream with others
// before its answer starts, and an instance that has to go on asks them.
//
// A Table holds such records, a History the software that a service has run. The
// package does no I/O and reads no clock.
package origin

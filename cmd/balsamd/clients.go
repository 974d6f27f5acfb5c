package main

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/clientconn"
	"github.com/balsamstair/balsamstair/internal/settings"
	"golang.org/x/sys/unix"
)

const (
	// reservedFraction is the part of the memory for clients that large requests
	// cannot take.
	reservedFraction = 0.25
	// stallAfter is the time without progress from which a client's connection
	// may be closed if memory is short. It is some hundred round trips.
	stallAfter = time.Second
	// fileDescriptors are those reserved for files. Of the others, clients may use
	// clientDescriptorsFraction; the rest is for connections to endpoints, instances
	// and the platform.
	fileDescriptors           = 200
	clientDescriptorsFraction = 0.75
	// instanceHeaderBytes is what instances add to the head of a request that they
	// forward.
	instanceHeaderBytes = 8 << 10
)

// newClientBudget returns the budget of the memory that clients may occupy.
func newClientBudget(l settings.RoutedLimits) *bytebudget.Budget {
	total := l.ClientMemoryBytes()
	return bytebudget.New(bytebudget.Config{
		Bytes:         total,
		ReservedBytes: int64(reservedFraction * float64(total)),
		SmallBytes:    clientconn.SmallBytes,
		StallAfter:    stallAfter,
	})
}

// maxClientConnections returns how many connections of clients may be open: as
// the settings say, but no more than the descriptors and the memory allow.
func maxClientConnections(l settings.RoutedLimits) int {
	descriptors := l.FileDescriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	n := int64(clientDescriptorsFraction * float64(max(descriptors-fileDescriptors, 0)))
	n = min(n, l.ClientMemoryBytes()/clientconn.ConnectionBytes)
	if l.ClientConnections > 0 {
		n = min(n, l.ClientConnections)
	}
	return int(max(n, 1))
}

// descriptorLimit returns the limit of the process on open file descriptors.
func descriptorLimit() int64 {
	// defaultDescriptors is the usual soft limit.
	const defaultDescriptors, maxDescriptors = 1024, 1 << 20
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int64(min(limit.Cur, maxDescriptors))
}

// headBytes returns how much of a request's head is read at most.
func (d *routedDaemon) headBytes() int {
	return d.handler.HeadBytes(int(d.settings.Limits.HeadSlackBytes))
}

// Package peerpb holds the generated messages that the instances of one
// availability zone exchange. Regenerate with protoc and protoc-gen-go after a
// change to peer.proto; the build itself needs no generator.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto

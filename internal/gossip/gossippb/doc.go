// Package gossippb holds the generated messages that instances exchange about
// routed traffic. Regenerate with protoc and protoc-gen-go after a change to
// gossip.proto; the build itself needs no generator.
package gossippb

//go:generate protoc --go_out=. --go_opt=paths=source_relative gossip.proto

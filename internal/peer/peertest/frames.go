package peertest

import (
	"fmt"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Hello returns the Hello of an instance named after its incarnation.
func Hello(inc uint64, protocol uint32) *peerpb.Hello {
	return &peerpb.Hello{Instance: fmt.Sprintf("instance-%d", inc), AvailabilityZone: "north", Protocol: protocol}
}

// Ask returns a small frame that n identifies.
func Ask(n uint64) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Ask{Ask: &peerpb.Ask{Request: n, Round: 1, Pool: "birch"}}}
}

// Heartbeat returns a frame of slightly more than size bytes.
func Heartbeat(size int) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{Digest: make([]byte, size)}}}
}

// FileReply returns a frame of slightly more than size bytes, which may exceed
// peer.MaxFrameBytes.
func FileReply(size int) *peerpb.Frame {
	reply := &peerpb.FileReply{Revision: 3, Parts: [][]byte{make([]byte, size)}}
	return &peerpb.Frame{Body: &peerpb.Frame_FileReply{FileReply: reply}}
}

// SmallFrames returns typical frames of the most frequent kinds, by kind.
func SmallFrames() map[string]*peerpb.Frame {
	pools := []*peerpb.PoolLoad{
		{Pool: "birch-large", FreeSlots: 12, Waiting: []uint32{0, 1, 4, 30}, WaitMs: 180},
		{Pool: "birch-small", FreeSlots: 40, Waiting: []uint32{0, 0, 0, 2}, WaitMs: 15},
		{Pool: "booking", FreeSlots: 8, Waiting: []uint32{0, 0, 0, 0}},
	}
	return map[string]*peerpb.Frame{
		"Ask": {Body: &peerpb.Frame_Ask{Ask: &peerpb.Ask{
			Request: 100_000, Round: 200, Pool: "birch-large", Organisation: "organisation-1234", Rank: 2,
			PromptTokens: 1500, OutputTokens: 400, Prefix: 1 << 60, Fingerprint: 1 << 61, DeadlineMs: 30_000,
		}}},
		"Grant": {Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
			Request: 100_000, Round: 200, Endpoint: "north-runner-12",
		}}},
		"Release": {Body: &peerpb.Frame_Release{Release: &peerpb.Release{
			Request: 100_000, Endpoint: "north-runner-12", Dispatched: true, PromptTokens: 1500, CachedTokens: 900,
			OutputTokens: 380, ElapsedMs: 15_000, FirstTokenMs: 700,
		}}},
		"Heartbeat": {Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Sequence: 100_000, Revision: 5000, Digest: make([]byte, 32), View: 1 << 60, Pools: pools,
		}}},
	}
}

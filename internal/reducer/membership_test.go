package reducer

import (
	"testing"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/shoenig/test/must"
)

// TestNotReadyWithOutdatedFile checks that an instance that reads an outdated
// file from the platform is not ready until it has its peer's newer file.
func TestNotReadyWithOutdatedFile(t *testing.T) {
	older, newer := parseZoneFile(1, 3), parseZoneFile(2, 3)
	digest := newer.Digest()
	s := New(Config{Incarnation: 1, Instance: "i0", AvailabilityZone: "a"}, 1)
	s.Step(1, InstancesListed{Instances: []Instance{{Name: "i0", AvailabilityZone: "a"}, {Name: "i1", AvailabilityZone: "a"}}})
	s.Step(1, PeerUp{Peer: 2, Hello: &peerpb.Hello{Instance: "i1", AvailabilityZone: "a"}})
	heartbeat := &peerpb.Heartbeat{Sequence: 1, Revision: 2, Digest: digest[:8]}
	s.Step(1, PeerMessage{From: 2, Frame: &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: heartbeat}}})
	s.Step(1, FileOffered{File: older, Source: "platform"})
	s.Step(2, Tick{})
	must.False(t, s.Status().Ready)
	s.Step(3, FileOffered{File: newer, Source: "peer"})
	s.Step(4, Tick{})
	must.True(t, s.Status().Ready)
	must.EqOp(t, 2, s.Status().Revision)
}

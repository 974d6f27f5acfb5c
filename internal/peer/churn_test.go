package peer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Sessions are dialled and closed at random and concurrently. PeerUp and
// PeerDown must alternate for each peer, and one session must remain for each
// pair.
func TestChurn(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { churn(t, seed, 150) })
	}
}

func churn(t *testing.T, seed uint64, steps int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var nodes []*node
	for inc := range uint64(3) {
		nodes = append(nodes, start(t, inc+1, func(c *Config) { c.ProbeTimeout = 100 * time.Millisecond }))
	}
	for range steps {
		n, other := nodes[rng.IntN(3)], nodes[rng.IntN(3)]
		switch rng.IntN(4) {
		case 0:
			n.Connect(other.address)
		case 1:
			forceDial(t, n, other.address)
		case 2:
			n.Close(other.cfg.Incarnation)
		case 3:
			n.Send(other.cfg.Incarnation, ask(seed))
		}
		if rng.IntN(3) == 0 {
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
		}
	}
	eventually(t, func() bool {
		settled := true
		for _, n := range nodes {
			for _, other := range nodes {
				n.Connect(other.address)
			}
			s := n.Stats()
			settled = settled && s.Peers == 2 && s.Sessions == 2 && countPeersUp(t, n) == 2
		}
		return settled
	})
}

// countPeersUp returns the number of peers whose last event is "up". It fails
// the test if the events of a peer do not alternate.
func countPeersUp(t *testing.T, n *node) int {
	last := map[string]string{}
	for _, event := range n.Events() {
		verb, rest, _ := strings.Cut(event, " ")
		peer, _, _ := strings.Cut(rest, " ")
		must.NotEq(t, last[peer], verb)
		must.True(t, verb == "up" || last[peer] == "up")
		last[peer] = verb
	}
	up := 0
	for _, verb := range last {
		if verb == "up" {
			up++
		}
	}
	return up
}

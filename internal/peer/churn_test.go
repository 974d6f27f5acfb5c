package peer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Whatever is dialled and closed at the same time: a Handler is told up and
// down in turn for each peer, and it ends with one session for each pair.
func TestChurn(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { churn(t, seed, 150) })
	}
}

func churn(t *testing.T, seed uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, 0))
	var nodes []*node
	for inc := range uint64(3) {
		nodes = append(nodes, start(t, inc+1, func(c *Config) { c.ProbeTimeout = 100 * time.Millisecond }))
	}
	for range steps {
		n, other := nodes[random.IntN(3)], nodes[random.IntN(3)]
		switch random.IntN(4) {
		case 0:
			n.Connect(other.address)
		case 1:
			dialAgain(t, n, other.address)
		case 2:
			n.Close(other.cfg.Incarnation)
		case 3:
			n.Send(other.cfg.Incarnation, ask(seed))
		}
		if random.IntN(3) == 0 {
			time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
		}
	}
	eventually(t, func() bool {
		settled := true
		for _, n := range nodes {
			for _, other := range nodes {
				n.Connect(other.address)
			}
			s := n.Stats()
			settled = settled && s.Peers == 2 && s.Sessions == 2 && toldUp(t, n) == 2
		}
		return settled
	})
}

// toldUp returns how many peers the Handler holds to be up. It fails the test
// if the Handler was told anything of a peer twice in a row.
func toldUp(t *testing.T, n *node) int {
	last := map[string]string{}
	for _, told := range n.Told() {
		verb, rest, _ := strings.Cut(told, " ")
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

package node

import (
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// Pattern: a burst of clients' packets fills what a balancer can take. What other nodes tell has a ring of its own.
func TestPacketsOfClientsDoNotCrowdOutOtherNodes(t *testing.T) {
	check := is.New(t)
	set := metrics.NewSet()
	n := &node{free: make(chan []byte, 1)}
	for s := range sourceCount {
		n.rings[s] = make(chan datagram, ringSize)
		n.dropped[s] = set.NewCounter(s.String())
	}
	for range 2 * ringSize {
		n.push(datagram{source: fromClients, from: netip.MustParseAddrPort("100.64.0.1:1024")})
	}
	check.Equal(n.dropped[fromClients].Get(), uint64(ringSize))
	n.push(datagram{source: fromNodes})
	check.Equal(len(n.rings[fromNodes]), 1)
	check.Equal(n.missed.Load(), uint32(0))
	for range ringSize {
		n.push(datagram{source: fromNodes})
	}
	check.Equal(n.missed.Load(), uint32(1))
}

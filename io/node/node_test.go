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
	n := &node{freeBuffers: make(chan []byte, 1)}
	for s := range sourceCount {
		n.queues[s] = make(chan datagram, receiveQueueLength)
		n.dropped[s] = set.NewCounter(s.String())
	}
	for range 2 * receiveQueueLength {
		n.enqueue(datagram{source: fromClients, from: netip.MustParseAddrPort("100.64.0.1:1024")})
	}
	check.Equal(n.dropped[fromClients].Get(), uint64(receiveQueueLength))
	n.enqueue(datagram{source: fromNodes})
	check.Equal(len(n.queues[fromNodes]), 1)
	check.Equal(n.droppedFromNodes.Load(), uint32(0))
	for range receiveQueueLength {
		n.enqueue(datagram{source: fromNodes})
	}
	check.Equal(n.droppedFromNodes.Load(), uint32(1))
}

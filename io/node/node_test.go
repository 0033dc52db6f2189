package node

import (
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// A burst of packets from clients fills their receive queue. Datagrams from other nodes have a queue of their own and must not be
// dropped.
func TestClientPacketsDoNotFillQueueOfNodes(t *testing.T) {
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

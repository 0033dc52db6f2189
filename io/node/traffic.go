package node

import (
	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/relay"
)

// traffic counts the bytes of datagrams to and from other nodes by the kind of message, so that an operator sees what fills a link.
type traffic struct {
	sent     [relay.KindCount]*metrics.Counter
	received [relay.KindCount]*metrics.Counter
}

// gossipKind is the index of gossip messages, which have no relay.Kind. No message has the kind 0.
const gossipKind relay.Kind = 0

func newTraffic(set *metrics.Set) *traffic {
	t := &traffic{}
	for kind := range relay.KindCount {
		name := kind.String()
		if kind == gossipKind {
			name = "gossip"
		}
		t.sent[kind] = set.NewCounter(`monsoonstep_node_bytes_total{direction="sent",kind="` + name + `"}`)
		t.received[kind] = set.NewCounter(`monsoonstep_node_bytes_total{direction="received",kind="` + name + `"}`)
	}
	return t
}

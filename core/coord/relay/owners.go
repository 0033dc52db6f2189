package relay

import (
	"net/netip"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/state"
)

// ownersPerFlow is how many balancers are told of each flow, so that one may die.
const ownersPerFlow = 2

// Owners finds the balancers that keep a flow's place. Nodes with the same list agree.
type Owners struct {
	balancers []netip.AddrPort
	// hashes has the hash of each balancer, at the same index.
	hashes []uint64
}

// NewOwners returns the owners among the balancers.
func NewOwners(balancers []netip.AddrPort) Owners {
	o := Owners{balancers: balancers, hashes: make([]uint64, 0, len(balancers))}
	for _, b := range balancers {
		o.hashes = append(o.hashes, NodeHash(b))
	}
	return o
}

// All returns every balancer.
func (o Owners) All() []netip.AddrPort { return o.balancers }

// Of returns the owners of a flow, best first.
func (o Owners) Of(flow state.FlowID) []netip.AddrPort {
	found := make([]netip.AddrPort, 0, ownersPerFlow)
	for _, i := range rank.Top(flow.Hash(), o.hashes, ownersPerFlow) {
		found = append(found, o.balancers[i])
	}
	return found
}

// NodeHash returns a hash of a node's address, which stays the same when its process starts again.
func NodeHash(a netip.AddrPort) uint64 {
	end := state.EndpointOf(a)
	return state.FlowID{Client: end, Virtual: end}.Hash()
}

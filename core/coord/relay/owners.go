package relay

import (
	"net/netip"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/state"
)

// ownersPerFlow is how many balancers keep each flow's location, so that one of them may fail.
const ownersPerFlow = 2

// Owners determines the owners of a flow: the balancers that keep its location in their directories. Nodes with the same list of
// balancers determine the same owners.
type Owners struct {
	balancers []netip.AddrPort
	// hashes holds the hash of each balancer, at the same index.
	hashes []uint64
}

// NewOwners returns an Owners that chooses among the balancers.
func NewOwners(balancers []netip.AddrPort) Owners {
	o := Owners{balancers: balancers, hashes: make([]uint64, 0, len(balancers))}
	for _, b := range balancers {
		o.hashes = append(o.hashes, NodeHash(b))
	}
	return o
}

// All returns every balancer.
func (o Owners) All() []netip.AddrPort { return o.balancers }

// Of returns the owners of a flow, the highest-ranked first.
func (o Owners) Of(flow state.FlowID) []netip.AddrPort {
	owners := make([]netip.AddrPort, 0, ownersPerFlow)
	for _, i := range rank.Top(flow.Hash(), o.hashes, ownersPerFlow) {
		owners = append(owners, o.balancers[i])
	}
	return owners
}

// Balancer is a balancer and the process that runs at its address.
type Balancer struct {
	Address netip.AddrPort
	// Process changes with each start of the balancer; a new process knows nothing of what the former one was sent.
	Process state.InstanceID
}

// Addresses returns the addresses of balancers.
func Addresses(balancers []Balancer) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(balancers))
	for _, b := range balancers {
		addresses = append(addresses, b.Address)
	}
	return addresses
}

// NodeHash returns a hash of a node's address. It stays the same when the node's process restarts.
func NodeHash(a netip.AddrPort) uint64 {
	end := state.EndpointOf(a)
	return state.FlowID{Client: end, Virtual: end}.Hash()
}

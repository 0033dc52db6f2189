package gate

import (
	"net/netip"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// sendLocations sends the flow's location to its owners, and to the balancer that last forwarded a packet of it.
func (g *Gate) sendLocations(id state.FlowID, f *flow) {
	sentToBalancer := false
	for _, owner := range g.owners.Of(id) {
		g.sendLocation(owner, id)
		sentToBalancer = sentToBalancer || owner == f.balancer
	}
	if !sentToBalancer && f.balancer.IsValid() {
		g.sendLocation(f.balancer, id)
	}
}

// sendLocation sends a balancer the location of a flow that this agent's target holds.
func (g *Gate) sendLocation(to netip.AddrPort, id state.FlowID) {
	g.actions.Send(to, relay.Message{
		Kind:    relay.KindLocation,
		Flow:    id,
		Service: g.settings.Service.ID(),
		Holder:  g.settings.Self,
	})
}

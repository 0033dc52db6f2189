package gate

import (
	"net/netip"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// sendLocations sends the flow's location to its owners and, with a load report, to the balancer that last forwarded a packet of it:
// a balancer that sends a target many flows knows the target's load better than periodic reports can tell.
func (g *Gate) sendLocations(now time.Time, id state.FlowID, f *flow) {
	for _, owner := range g.owners.Of(id) {
		if owner != f.balancer {
			g.sendLocation(owner, id, f)
		}
	}
	if !f.balancer.IsValid() {
		return
	}
	m := g.location(id, f)
	m.HasLoad = true
	m.Load = g.load(now)
	g.reportedFull = g.reportedFull || m.Load.Headroom == 0
	g.actions.Send(f.balancer, m)
}

// sendLocation sends a balancer the location of a flow that this agent's target holds.
func (g *Gate) sendLocation(to netip.AddrPort, id state.FlowID, f *flow) {
	g.actions.Send(to, g.location(id, f))
}

// location returns the message with the location of a flow that this agent's target holds.
func (g *Gate) location(id state.FlowID, f *flow) relay.Message {
	return relay.Message{
		Kind:    relay.KindLocation,
		Flow:    id,
		Service: g.settings.Service.ID(),
		Holder:  g.settings.Self,
		Assumed: f.assumed || f.phase == closed,
	}
}

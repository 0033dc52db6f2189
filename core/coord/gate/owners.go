package gate

import (
	"net/netip"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// tellHeld tells the flow's owners, and the balancer that asked, that the flow is here.
func (g *Gate) tellHeld(id state.FlowID, f *flow) {
	told := false
	for _, owner := range g.owners.Of(id) {
		g.sendHeld(owner, id)
		told = told || owner == f.balancer
	}
	if !told && f.balancer.IsValid() {
		g.sendHeld(f.balancer, id)
	}
}

func (g *Gate) sendHeld(to netip.AddrPort, id state.FlowID) {
	g.do.Send(to, relay.Message{
		Kind:    relay.KindLocation,
		Flow:    id,
		Service: g.settings.Service.ID(),
		Holder:  g.settings.Self,
	})
}

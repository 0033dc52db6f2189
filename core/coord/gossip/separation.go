package gossip

import "monsoonstep/core/state"

// IsSeparated reports whether this node may know only a part of the fleet, and the rest not of it: it knows no other node, or is an agent
// that knows no balancer. When all balancers are restarted at once, each of them knows only the nodes that have reached it since. All of
// these count the same agents, so MembershipComplete can't tell that others are missing; an agent has to reach a balancer before that.
func (m *Machine) IsSeparated() bool {
	return len(m.present) == 0 || m.self.Role == state.RoleAgent && !m.KnowsBalancer()
}

// KnowsBalancer reports whether another balancer is alive. One that is suspect may have been restarted, and not know this node.
func (m *Machine) KnowsBalancer() bool {
	for _, r := range m.present {
		if r.Role == state.RoleBalancer && r.Health == state.HealthAlive {
			return true
		}
	}
	return false
}

package gossip

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/state"
)

// An agent that leaves as planned usually returns within seconds, beside a target that holds flows all the while. Digests and
// diffs have only members that are present, so a node that starts meanwhile would not know of the agent, and take its own list of agents
// for complete. Therefore each node tells of such departures for departureWindow, and counts them among the agents.

// mayReturn reports whether the member is an agent that left within departureWindow and whose target may hold flows.
func (m *Machine) mayReturn(now time.Time, r *row) bool {
	return r.Health == state.HealthLeft && r.Role == state.RoleAgent && r.Phase != state.PhaseEmpty && r.Gossip.IsValid() &&
		now.Sub(r.changedAt) < m.cfg.departureWindow
}

// recordDeparture adds a row whose member has just become known to have left to the departures, if it may return.
func (m *Machine) recordDeparture(now time.Time, r *row) {
	if m.mayReturn(now, r) && !slices.Contains(m.departed, r) {
		m.departed = append(m.departed, r)
	}
}

// expireDepartures removes the departures that are older than departureWindow.
func (m *Machine) expireDepartures(now time.Time) {
	before := len(m.departed)
	m.departed = slices.DeleteFunc(m.departed, func(r *row) bool { return !m.mayReturn(now, r) })
	if len(m.departed) < before {
		m.version++
	}
}

// Departures returns the agents that left as planned within departureWindow and have not returned yet.
func (m *Machine) Departures(now time.Time) []state.Departure {
	if len(m.departed) == 0 {
		return nil
	}
	returned := make(map[netip.AddrPort]struct{})
	for _, r := range m.present {
		returned[r.Gossip] = struct{}{}
	}
	var departures []state.Departure
	for _, r := range m.departed {
		if _, ok := returned[r.Gossip]; !ok && m.mayReturn(now, r) {
			departures = append(departures, state.Departure{Member: r.Member, Age: now.Sub(r.changedAt)})
		}
	}
	return departures
}

// mergeDepartures merges the departures of a message. They are passed on with their age, so that a node that learns of one from another
// that did not know the agent as present forgets it at the same time as all others.
func (m *Machine) mergeDepartures(now time.Time, departures []state.Departure) {
	for _, d := range departures {
		received := d.Member
		if received.ID == m.self.ID || received.Health != state.HealthLeft || !received.Gossip.IsValid() || d.Age >= m.cfg.departureWindow {
			continue
		}
		if old, known := m.rows[received.ID]; known && !received.Overrides(old.Member) {
			continue
		}
		m.setRow(now, received)
		r := m.rows[received.ID]
		r.changedAt = now.Add(-d.Age)
	}
}

// departuresFor returns the departures to include in the reply to a digest: its sender may not know them if its membership differs or it
// counts fewer agents.
func (m *Machine) departuresFor(now time.Time, msg Message) []state.Departure {
	if msg.Digest.Members == m.digest && msg.AgentCount >= m.countAgents() {
		return nil
	}
	return m.Departures(now)
}

package gossip

import (
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// tickProbe runs the failure detector: a direct ping, then indirect probes, then suspicion.
func (m *Machine) tickProbe(now time.Time, out []Send) []Send {
	p := &m.probe
	if p.active && !p.indirectSent && !now.Before(p.indirectAt) {
		p.indirectSent = true
		out = m.sendIndirectProbes(out)
	}
	if p.active && !now.Before(p.suspectAt) {
		p.active = false
		m.suspect(now, p.member)
	}
	if !p.active && !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.cfg.probePeriod)
		out = m.startProbe(now, out)
	}
	for sequence, forwarded := range m.forwardedPings {
		if now.After(forwarded.expiresAt) {
			delete(m.forwardedPings, sequence)
		}
	}
	return out
}

// startProbe pings the next member. A suspect is sent the suspicion with the ping, so that it can refute it.
func (m *Machine) startProbe(now time.Time, out []Send) []Send {
	member := m.nextToProbe()
	if member == nil {
		return out
	}
	m.sequence++
	m.probe = probe{
		member:     member.ID,
		sequence:   m.sequence,
		indirectAt: now.Add(m.cfg.probeTimeout),
		suspectAt:  now.Add(2 * m.cfg.probeTimeout),
		active:     true,
	}
	ping := Message{Kind: KindPing, Sequence: m.sequence, To: member.ID}
	if member.Health == state.HealthSuspect {
		ping.Members = append(ping.Members, member.Member)
	}
	return append(out, m.prepare(member.Gossip, ping))
}

// nextToProbe returns the next present member in round-robin order, shuffled for each round. This bounds
// the time until a given member is probed.
func (m *Machine) nextToProbe() *row {
	for range 2 {
		for len(m.probeOrder) > 0 {
			last := len(m.probeOrder) - 1
			id := m.probeOrder[last]
			m.probeOrder = m.probeOrder[:last]
			if r, ok := m.rows[id]; ok && r.Present() {
				return r
			}
		}
		for _, r := range m.present {
			m.probeOrder = append(m.probeOrder, r.ID)
		}
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) {
			m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
		})
	}
	return nil
}

// sendIndirectProbes asks indirectProbeCount random members, or all others if there are fewer, to ping the member that has not acknowledged the direct ping.
func (m *Machine) sendIndirectProbes(out []Send) []Send {
	member, ok := m.rows[m.probe.member]
	if !ok {
		return out
	}
	sent := 0
	for _, i := range m.rng.Perm(len(m.present)) {
		helper := m.present[i]
		if helper.ID == member.ID {
			continue
		}
		if sent == indirectProbeCount {
			break
		}
		sent++
		out = append(out, m.prepare(helper.Gossip, Message{
			Kind:          KindPingRequest,
			Sequence:      m.probe.sequence,
			To:            helper.ID,
			Target:        member.ID,
			TargetAddress: member.Gossip,
		}))
	}
	return out
}

// handlePingRequest pings a member on behalf of the sender.
func (m *Machine) handlePingRequest(now time.Time, from netip.AddrPort, msg Message) []Send {
	m.sequence++
	m.forwardedPings[m.sequence] = forwardedPing{
		requesterAddress: from,
		requester:        msg.From,
		sequence:         msg.Sequence,
		expiresAt:        now.Add(2 * m.cfg.probeTimeout),
	}
	ping := Message{Kind: KindPing, Sequence: m.sequence, To: msg.Target}
	return []Send{m.prepare(msg.TargetAddress, ping)}
}

// handleAck ends the probe that the ack belongs to, or passes the ack on to the member that requested the ping.
func (m *Machine) handleAck(msg Message) []Send {
	if m.probe.active && msg.Sequence == m.probe.sequence {
		m.probe.active = false
		return nil
	}
	forwarded, ok := m.forwardedPings[msg.Sequence]
	if !ok {
		return nil
	}
	delete(m.forwardedPings, msg.Sequence)
	return []Send{m.prepare(forwarded.requesterAddress, Message{Kind: KindAck, Sequence: forwarded.sequence, To: forwarded.requester})}
}

// suspect marks an alive member as suspect and spreads the suspicion.
func (m *Machine) suspect(now time.Time, id state.InstanceID) {
	r, ok := m.rows[id]
	if !ok || r.Health != state.HealthAlive {
		return
	}
	changed := r.Member
	changed.Health = state.HealthSuspect
	m.setRow(now, changed)
	m.updates.addMember(id)
}

// expireSuspects declares dead the suspects whose suspicion timeout has passed without a refutation.
func (m *Machine) expireSuspects(now time.Time) {
	var expired []*row
	for _, r := range m.present {
		if r.Health == state.HealthSuspect && !now.Before(r.deadAt) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		changed := r.Member
		changed.Health = state.HealthDead
		m.setRow(now, changed)
		m.updates.addMember(r.ID)
	}
}

package gossip

import (
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// tickProbe runs the failure detector: a ping, then pings by way of helpers, then suspicion.
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
	for sequence, r := range m.forwardedPings {
		if now.After(r.expiresAt) {
			delete(m.forwardedPings, sequence)
		}
	}
	return out
}

func (m *Machine) startProbe(now time.Time, out []Send) []Send {
	target := m.nextToProbe()
	if target == nil {
		return out
	}
	m.sequence++
	m.probe = probe{
		member:     target.ID,
		sequence:   m.sequence,
		indirectAt: now.Add(m.cfg.probeTimeout),
		suspectAt:  now.Add(2 * m.cfg.probeTimeout),
		active:     true,
	}
	ping := Message{Kind: KindPing, Sequence: m.sequence, To: target.ID}
	if target.Health == state.HealthSuspect {
		ping.Members = append(ping.Members, target.Member)
	}
	return append(out, m.prepare(target.Gossip, ping))
}

// nextToProbe goes round all present members in an order that is shuffled for each round, which
// bounds the time until a given member is probed.
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

func (m *Machine) sendIndirectProbes(out []Send) []Send {
	target, ok := m.rows[m.probe.member]
	if !ok {
		return out
	}
	for range indirectProbeCount {
		helper := m.randomPresent()
		if helper == nil || helper.ID == target.ID {
			continue
		}
		out = append(out, m.prepare(helper.Gossip, Message{
			Kind:          KindPingRequest,
			Sequence:      m.probe.sequence,
			To:            helper.ID,
			Target:        target.ID,
			TargetAddress: target.Gossip,
		}))
	}
	return out
}

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

func (m *Machine) handleAck(msg Message) []Send {
	if m.probe.active && msg.Sequence == m.probe.sequence {
		m.probe.active = false
		return nil
	}
	r, ok := m.forwardedPings[msg.Sequence]
	if !ok {
		return nil
	}
	delete(m.forwardedPings, msg.Sequence)
	return []Send{m.prepare(r.requesterAddress, Message{Kind: KindAck, Sequence: r.sequence, To: r.requester})}
}

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

package gossip

import (
	"time"

	"monsoonstep/core/state"
)

// mergeMembers merges the members of a message and spreads those that are new or newer. If the sender considers
// a member present that this node knows to be down, the death is spread again, so that it reaches the sender.
// A member that is down and not known here is ignored; see mergeDepartures for those that may return.
func (m *Machine) mergeMembers(now time.Time, members []state.Member) {
	for _, received := range members {
		if received.ID == m.self.ID {
			m.mergeSelf(now, received)
			continue
		}
		old, known := m.rows[received.ID]
		if !known {
			if received.Present() {
				m.setRow(now, received)
				m.updates.addMember(received.ID)
			}
			continue
		}
		if !received.Present() && !received.Gossip.IsValid() {
			received.Announcement = old.Announcement
		}
		if received.Overrides(old.Member) {
			m.setRow(now, received)
			m.updates.addMember(received.ID)
			continue
		}
		if old.Overrides(received) && received.Present() && !old.Present() {
			m.updates.addMember(received.ID)
		}
	}
}

// mergeSelf handles an update about this node. It refutes one that says that this node is suspect, dead or has left,
// and raises this node's incarnation above any higher one in use for its ID.
func (m *Machine) mergeSelf(now time.Time, received state.Member) {
	newer := received.Incarnation > m.self.Incarnation
	declaredFailed := received.Incarnation == m.self.Incarnation && received.Health != state.HealthAlive
	if !newer && !declaredFailed {
		return
	}
	if m.self.Health == state.HealthLeft {
		return
	}
	m.stats.Refutations++
	m.updateSelf(func(self *state.Member) { self.Incarnation = received.Incarnation + 1 })
	if declaredFailed && received.Health == state.HealthDead {
		// It is unknown for how long others have considered this node dead: it may have been partitioned for long.
		// So the absence is taken to have begun when this node first served.
		m.recordAbsence(time.UnixMilli(int64(m.self.Since)), now)
	}
}

// setRow stores a member and updates the list of present members, the digest and the counters.
func (m *Machine) setRow(now time.Time, member state.Member) {
	r, known := m.rows[member.ID]
	if !known {
		r = &row{index: -1}
		m.rows[member.ID] = r
	}
	bucket := memberBucket(member.ID)
	wasPresent := r.index >= 0
	if wasPresent {
		m.digest[bucket] ^= memberHash(r.Member)
	}
	r.Member = member
	if !known || wasPresent || member.Present() {
		r.changedAt = now
	}
	if member.Health == state.HealthSuspect {
		r.deadAt = now.Add(m.suspicionTimeout())
	}
	if member.Present() {
		m.digest[bucket] ^= memberHash(member)
	}
	switch {
	case member.Present() && !wasPresent:
		r.index = len(m.present)
		m.present = append(m.present, r)
	case !member.Present() && wasPresent:
		m.removePresent(r)
		if member.Health == state.HealthDead {
			m.stats.Deaths++
		}
	}
	m.recordDeparture(now, r)
	m.version++
}

func (m *Machine) removePresent(r *row) {
	last := m.present[len(m.present)-1]
	m.present[r.index] = last
	last.index = r.index
	m.present = m.present[:len(m.present)-1]
	r.index = -1
}

// removeOldRows deletes the rows of members that have been down for longer than downRetention.
func (m *Machine) removeOldRows(now time.Time) {
	for id, r := range m.rows {
		if !r.Present() && now.Sub(r.changedAt) > m.cfg.downRetention {
			delete(m.rows, id)
			m.version++
		}
	}
}

func memberBucket(id state.InstanceID) int { return int(id.Hash() % MemberBuckets) }

// memberHash hashes what two nodes must agree on. Suspicion is left out, since it is transient.
func memberHash(m state.Member) uint32 {
	return uint32(state.Mix(m.ID.Hash() ^ state.Mix(uint64(m.Incarnation))))
}

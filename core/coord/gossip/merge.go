package gossip

import (
	"time"

	"monsoonstep/core/state"
)

// mergeMembers takes in what a message says of members, and spreads what is new. Where this node
// knows better than the sender, it spreads that again, so that the sender learns it.
func (m *Machine) mergeMembers(now time.Time, members []state.Member) {
	for _, heard := range members {
		if heard.ID == m.self.ID {
			m.mergeSelf(now, heard)
			continue
		}
		old, known := m.rows[heard.ID]
		if !known {
			if heard.Present() {
				m.setRow(now, heard)
				m.updates.addMember(heard.ID)
			}
			continue
		}
		if !heard.Present() && !heard.Gossip.IsValid() {
			heard.Announcement = old.Announcement
		}
		if heard.Overrides(old.Member) {
			m.setRow(now, heard)
			m.updates.addMember(heard.ID)
			continue
		}
		if old.Overrides(heard) && heard.Present() && !old.Present() {
			m.updates.addMember(heard.ID)
		}
	}
}

// mergeSelf denies a rumour that this node is suspect or dead, and returns above any incarnation
// that an earlier process of the same name has used.
func (m *Machine) mergeSelf(now time.Time, heard state.Member) {
	stale := heard.Incarnation > m.self.Incarnation
	denied := heard.Incarnation == m.self.Incarnation && heard.Health != state.HealthAlive
	if !stale && !denied {
		return
	}
	if m.self.Health == state.HealthLeft {
		return
	}
	m.stats.Refutations++
	m.updateSelf(func(self *state.Member) { self.Incarnation = heard.Incarnation + 1 })
	if denied && heard.Health == state.HealthDead {
		// Nobody can tell for how long others have thought so: this side may have been cut off for long.
		m.recordAbsence(time.UnixMilli(int64(m.self.Since)), now)
	}
}

// setRow stores a member's row and keeps the list of present members, the digest and the counts.
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
	r.changedAt = now
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
	m.version++
}

func (m *Machine) removePresent(r *row) {
	last := m.present[len(m.present)-1]
	m.present[r.index] = last
	last.index = r.index
	m.present = m.present[:len(m.present)-1]
	r.index = -1
}

// removeOldRows drops rows of members that have been gone for long.
func (m *Machine) removeOldRows(now time.Time) {
	for id, r := range m.rows {
		if !r.Present() && now.Sub(r.changedAt) > m.cfg.downRetention {
			delete(m.rows, id)
			m.version++
		}
	}
}

func memberBucket(id state.InstanceID) int { return int(id.Hash() % MemberBuckets) }

// memberHash covers what two nodes must agree on. A suspicion is passing, so it is left out.
func memberHash(m state.Member) uint32 {
	return uint32(state.Mix(m.ID.Hash() ^ state.Mix(uint64(m.Incarnation))))
}

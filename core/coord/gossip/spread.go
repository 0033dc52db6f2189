package gossip

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/state"
)

// tickUpdates sends the pending updates to a few random members.
func (m *Machine) tickUpdates(now time.Time, out []Send) []Send {
	if now.Before(m.nextUpdates) {
		return out
	}
	m.nextUpdates = now.Add(m.cfg.updatePeriod)
	for range updateFanout {
		if m.updates.empty() {
			return out
		}
		if m.budget.tokens <= 0 && !m.updates.hasRecord() {
			m.stats.Deferred++
			return out
		}
		r := m.randomPresent()
		if r == nil {
			return out
		}
		out = append(out, m.prepare(r.Gossip, Message{Kind: KindUpdates, To: r.ID}))
	}
	return out
}

// tickSync compares digests with a random member, and sometimes with one that is presumed dead: this
// is how the two sides of a healed partition discover each other.
func (m *Machine) tickSync(now time.Time, out []Send) []Send {
	if now.Before(m.nextSync) {
		return out
	}
	jitter := time.Duration(m.rng.Int64N(int64(m.cfg.syncPeriod)))
	m.nextSync = now.Add(m.cfg.syncPeriod/2 + jitter)
	m.removeOldRows(now)
	if m.budget.tokens <= 0 {
		m.stats.Deferred++
		return out
	}
	r := m.randomPresent()
	if m.rng.IntN(deadSyncDivisor) == 0 || r == nil {
		if dead := m.randomDead(); dead != nil {
			r = dead
		}
	}
	if r == nil {
		return out
	}
	msg := Message{Kind: KindDigest, To: r.ID, Digest: m.currentDigest()}
	if !r.Present() {
		msg.Members = append(msg.Members, r.Member)
	}
	return append(out, m.prepare(r.Gossip, msg))
}

// randomDead returns a dead member, each with the same probability, or nil if there is none. The order of the members in the map
// has no influence on the choice.
func (m *Machine) randomDead() *row {
	var dead []*row
	for _, r := range m.rows {
		if r.Health == state.HealthDead {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.SortFunc(dead, func(x, y *row) int { return cmp.Compare(x.ID, y.ID) })
	return dead[m.rng.IntN(len(dead))]
}

func (m *Machine) currentDigest() *Digest {
	return &Digest{Members: m.digest, Records: m.recordSet.Digest()}
}

// handleDigest replies with the items of the buckets that differ and with departures, as many as the byte budget allows.
// Buckets are sent from a random start, so that items that exceed the budget are sent another time.
func (m *Machine) handleDigest(now time.Time, from netip.AddrPort, msg Message) []Send {
	if msg.Digest == nil {
		return nil
	}
	members, records := m.differingItems(msg.Digest)
	departures := m.departuresFor(now, msg)
	equal := m.digest == msg.Digest.Members && m.recordSet.Digest() == msg.Digest.Records
	if equal && len(departures) == 0 {
		return nil
	}
	var out []Send
	reply := Message{Kind: KindDiff, To: msg.From}
	if msg.Kind == KindDigest {
		reply.Digest = m.currentDigest()
	}
	for len(members) > 0 || len(departures) > 0 || len(records) > 0 || reply.Digest != nil {
		if m.budget.tokens <= 0 {
			m.stats.Deferred++
			return out
		}
		departures = m.fillDepartures(&reply, departures)
		members, records = m.fill(&reply, members, records)
		reply.From = m.self.ID
		reply.AgentCount = m.countAgents()
		m.budget.tokens -= float64(reply.size())
		out = append(out, Send{To: from, Message: reply})
		reply = Message{Kind: KindDiff, To: msg.From}
	}
	return out
}

// differingItems returns the items of the buckets that differ from a remote digest.
func (m *Machine) differingItems(remote *Digest) ([]state.Member, []state.Record) {
	var members []state.Member
	start := m.rng.IntN(MemberBuckets)
	differs := [MemberBuckets]bool{}
	for i := range MemberBuckets {
		differs[i] = remote.Members[i] != m.digest[i]
	}
	byBucket := map[int][]state.Member{}
	for _, r := range m.present {
		if bucket := memberBucket(r.ID); differs[bucket] {
			byBucket[bucket] = append(byBucket[bucket], r.Member)
		}
	}
	if bucket := memberBucket(m.self.ID); differs[bucket] {
		byBucket[bucket] = append(byBucket[bucket], m.self)
	}
	for i := range MemberBuckets {
		members = append(members, byBucket[(start+i)%MemberBuckets]...)
	}
	var records []state.Record
	digest := m.recordSet.Digest()
	start = m.rng.IntN(state.RecordBuckets)
	for i := range state.RecordBuckets {
		bucket := (start + i) % state.RecordBuckets
		if remote.Records[bucket] != digest[bucket] {
			records = append(records, m.recordSet.InBucket(bucket)...)
		}
	}
	return members, records
}

// fill moves items into a message until it is full, and returns the rest. A message without a digest gets at least
// one item, even one that is larger than a packet.
func (m *Machine) fill(msg *Message, members []state.Member, records []state.Record) ([]state.Member, []state.Record) {
	size := msg.size()
	for len(records) > 0 && (size+recordBytes(records[0]) <= m.cfg.maxPacketBytes || size <= headerBytes*2) {
		size += recordBytes(records[0])
		msg.Records = append(msg.Records, records[0])
		records = records[1:]
	}
	for len(members) > 0 && (size+memberBytes(members[0]) <= m.cfg.maxPacketBytes || size <= headerBytes*2) {
		size += memberBytes(members[0])
		msg.Members = append(msg.Members, members[0])
		members = members[1:]
	}
	return members, records
}

// fillDepartures moves departures into a message until it is full, and returns the rest. As in fill, a message without a digest gets at
// least one item.
func (m *Machine) fillDepartures(msg *Message, departures []state.Departure) []state.Departure {
	size := msg.size()
	for len(departures) > 0 && (size+departureSize(departures[0]) <= m.cfg.maxPacketBytes || size <= headerBytes*2) {
		size += departureSize(departures[0])
		msg.Departures = append(msg.Departures, departures[0])
		departures = departures[1:]
	}
	return departures
}

// addUpdates adds updates to a message as long as they fit, the least sent first; with recordsOnly, only those of records.
func (m *Machine) addUpdates(msg *Message, recordsOnly bool) {
	limit := retransmitFactor * (bits.Len(uint(m.Size())) + 1)
	bytesLeft := m.cfg.maxPacketBytes - msg.size()
	m.updates.offerEach(limit, func(u *update) bool {
		if u.member != "" && recordsOnly {
			return false
		}
		if u.member != "" {
			member, ok := m.memberByID(u.member)
			if !ok {
				return true
			}
			member = withoutAnnouncement(member)
			if memberBytes(member) > bytesLeft {
				return false
			}
			bytesLeft -= memberBytes(member)
			msg.Members = append(msg.Members, member)
			return true
		}
		record, ok := m.recordSet.Get(u.record)
		if !ok {
			return true
		}
		if recordBytes(record) > bytesLeft {
			return false
		}
		bytesLeft -= recordBytes(record)
		msg.Records = append(msg.Records, record)
		return true
	})
}

// withoutAnnouncement leaves out the announcement of a member that is down: a node that knows the member has it
// already, and one that does not know the member has no use for it. After the loss of a data centre, announcements
// would be most of the bytes sent.
func withoutAnnouncement(member state.Member) state.Member {
	if member.Present() {
		return member
	}
	return state.Member{ID: member.ID, Incarnation: member.Incarnation, Health: member.Health}
}

func (m *Machine) memberByID(id state.InstanceID) (state.Member, bool) {
	if id == m.self.ID {
		return m.self, true
	}
	r, ok := m.rows[id]
	if !ok {
		return state.Member{}, false
	}
	return r.Member, true
}

// Package gossip is the membership and dissemination protocol as a deterministic state machine:
// events and the time go in, messages to send come out.
//
// Membership follows SWIM (Das, Gupta and Motivala, 2002): random probes, indirect probes,
// suspicion, and incarnation numbers, with updates piggybacked on the messages of the probes. Updates
// are also sent on their own, and from time to time two nodes compare digests and exchange what differs
// (anti-entropy: Demers et al., "Epidemic algorithms for replicated database maintenance", 1987). The
// platform's records are spread in the same way as members.
//
// The number of messages a node sends in a second does not depend on the number of members, and a
// token bucket bounds its bytes.
package gossip

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// Machine is the protocol state of one node. It is not safe for concurrent use.
type Machine struct {
	cfg config
	rng *rand.Rand

	// self describes this node; nobody else raises its incarnation.
	self state.Member
	// rows holds all other known members, those that are down included until downRetention has passed; never self.
	rows map[state.InstanceID]*row
	// present lists the rows of members that are alive or suspected, in no particular order.
	present []*row
	// departed lists the rows of agents that left as planned within departureWindow.
	departed []*row
	// digest holds for each bucket the XOR of the hashes of the members in it: self and the present rows.
	digest [MemberBuckets]uint32
	// version rises with every change of what Members returns.
	version uint64

	recordSet *state.RecordSet
	updates   updateQueue

	probe probe
	// probeOrder lists the members that are still to be probed in this round, the next one last.
	probeOrder []state.InstanceID
	// forwardedPings holds the pings sent on behalf of other members, by the sequence of this node's own ping.
	forwardedPings map[uint64]forwardedPing
	// sequence is the sequence of the last ping that this node sent.
	sequence uint64

	nextProbe   time.Time
	nextUpdates time.Time
	nextSync    time.Time
	lastTick    time.Time
	budget      tokenBucket
	stats       Stats

	// reported is a ring buffer of the agent counts in the latest messages; reportsReceived counts all of them.
	reported        [maxAgentReports]int
	reportsReceived int
	// agentCount caches the result of countAgents for the version agentCountVersion.
	agentCount        int
	agentCountVersion uint64
}

// Stats holds counters that never decrease.
type Stats struct {
	// Deaths counts members declared dead, by this node or by others.
	Deaths uint64
	// Refutations counts updates that this node refuted: they said that it was suspect, dead or had left, or had a
	// higher incarnation than its own.
	Refutations uint64
	// Pauses counts pauses of this process that were long enough for others to declare it dead.
	Pauses uint64
	// Deferred counts the times when nothing more was sent because the byte budget was used up.
	Deferred uint64
}

// row is another member, as this node knows it.
type row struct {
	state.Member
	// index is the row's index in Machine.present, or -1 if the member is not present.
	index int
	// deadAt is when a suspect is declared dead.
	deadAt time.Time
	// changedAt is when the row was last changed, by this node's clock; for a member that is down, when it went down.
	changedAt time.Time
}

// probe is the one probe that is in progress.
type probe struct {
	member   state.InstanceID
	sequence uint64
	// indirectAt is when indirect probes are sent; suspectAt is when the member becomes a suspect.
	indirectAt   time.Time
	suspectAt    time.Time
	indirectSent bool
	active       bool
}

// forwardedPing is a ping sent on behalf of another member, to which the ack is passed on.
type forwardedPing struct {
	requesterAddress netip.AddrPort
	requester        state.InstanceID
	// sequence is that of the requester.
	sequence  uint64
	expiresAt time.Time
}

// New returns a machine for the instance that self describes. The seed determines all its random choices.
func New(self state.Member, recordSet *state.RecordSet, seed uint64, options ...Option) *Machine {
	cfg := defaultConfig()
	for _, option := range options {
		option(&cfg)
	}
	if self.Incarnation == 0 {
		self.Incarnation = 1
	}
	m := &Machine{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(seed, self.ID.Hash())),
		self:           self,
		rows:           make(map[state.InstanceID]*row),
		recordSet:      recordSet,
		forwardedPings: make(map[uint64]forwardedPing),
	}
	burst := cfg.bytesPerSecond * budgetBurstSeconds
	m.budget = tokenBucket{rate: cfg.bytesPerSecond, burst: burst, tokens: burst}
	m.digest[memberBucket(self.ID)] ^= memberHash(self)
	m.updates.addMember(self.ID)
	return m
}

// Self returns this node's own member.
func (m *Machine) Self() state.Member { return m.self }

// RecordSet returns the records that the machine spreads.
func (m *Machine) RecordSet() *state.RecordSet { return m.recordSet }

// Version returns a number that rises with every visible change of members or records.
func (m *Machine) Version() uint64 { return m.version + m.recordSet.Version() }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Size returns how many members are present, this node included.
func (m *Machine) Size() int { return len(m.present) + 1 }

// Members returns all known members, this node and those that are down included, in no particular order.
func (m *Machine) Members() []state.Member {
	all := make([]state.Member, 0, len(m.rows)+1)
	all = append(all, m.self)
	for _, r := range m.rows {
		all = append(all, r.Member)
	}
	return all
}

// DownSince returns when this node learnt that a member is no longer running. It returns false if the member is
// unknown or present.
func (m *Machine) DownSince(id state.InstanceID) (time.Time, bool) {
	r, ok := m.rows[id]
	if !ok || r.Present() {
		return time.Time{}, false
	}
	return r.changedAt, true
}

// Announce changes this node's announcement and spreads it with a higher incarnation.
func (m *Machine) Announce(change func(*state.Announcement)) {
	m.updateSelf(func(self *state.Member) {
		change(&self.Announcement)
		self.Incarnation++
	})
}

// MergeRecord merges a record, for example from a read of the platform, and spreads it if it is newer than the known
// one. It reports whether it was.
func (m *Machine) MergeRecord(r state.Record) bool {
	if !m.recordSet.Merge(r) {
		return false
	}
	m.updates.addRecord(r.Key)
	return true
}

// SpreadRecord spreads the known record of a key again. It does nothing if there is none.
func (m *Machine) SpreadRecord(k state.Key) {
	if _, known := m.recordSet.Get(k); known {
		m.updates.addRecord(k)
	}
}

// LoadRecord merges a record that others know already, from a snapshot or a first read of the platform,
// without spreading it.
func (m *Machine) LoadRecord(r state.Record) { m.recordSet.Merge(r) }

// LoadMember merges a member from a snapshot, whatever its health, without spreading it.
func (m *Machine) LoadMember(now time.Time, member state.Member) {
	if member.ID == m.self.ID {
		m.mergeSelf(now, member)
		return
	}
	old, known := m.rows[member.ID]
	if known && !member.Overrides(old.Member) {
		return
	}
	m.setRow(now, member)
}

// Leave marks this node as left and returns the messages that announce it.
func (m *Machine) Leave() []Send {
	m.updateSelf(func(self *state.Member) {
		self.Incarnation++
		self.Health = state.HealthLeft
	})
	var out []Send
	for range leaveFanout {
		if r := m.randomPresent(); r != nil {
			out = append(out, m.prepare(r.Gossip, Message{Kind: KindUpdates, To: r.ID}))
		}
	}
	return out
}

// Join returns messages that introduce this node to the seed addresses.
func (m *Machine) Join(seeds []netip.AddrPort) []Send {
	var out []Send
	for _, seed := range seeds {
		if seed == m.self.Gossip {
			continue
		}
		out = append(out, m.prepare(seed, Message{Kind: KindDigest, Digest: m.currentDigest()}))
	}
	return out
}

// Sync returns a message that compares digests with a random member now, in addition to the periodic ones. It is for
// a node whose membership is not complete. It returns none if no other member is present or the byte budget is used up.
func (m *Machine) Sync() []Send {
	r := m.randomPresent()
	if r == nil || m.budget.tokens <= 0 {
		return nil
	}
	return []Send{m.prepare(r.Gossip, Message{Kind: KindDigest, To: r.ID, Digest: m.currentDigest()})}
}

// Tick advances the machine to now and returns the messages to send. It is called a few times in each
// update period.
func (m *Machine) Tick(now time.Time) []Send {
	m.detectPause(now)
	m.budget.refill(now)
	var out []Send
	out = m.tickProbe(now, out)
	m.expireSuspects(now)
	m.expireDepartures(now)
	out = m.tickUpdates(now, out)
	out = m.tickSync(now, out)
	return out
}

// Receive handles one message and returns the messages to send.
func (m *Machine) Receive(now time.Time, from netip.AddrPort, msg Message) []Send {
	if msg.From == m.self.ID || m.self.Health == state.HealthLeft {
		return nil
	}
	m.mergeMembers(now, msg.Members)
	m.mergeDepartures(now, msg.Departures)
	m.recordAgentReport(msg.AgentCount)
	for _, r := range msg.Records {
		m.MergeRecord(r)
	}
	if msg.To != "" && msg.To != m.self.ID {
		return nil
	}
	switch msg.Kind {
	case KindPing:
		return []Send{m.prepare(from, Message{Kind: KindAck, Sequence: msg.Sequence, To: msg.From})}
	case KindAck:
		return m.handleAck(msg)
	case KindPingRequest:
		return m.handlePingRequest(now, from, msg)
	case KindDigest, KindDiff:
		return m.handleDigest(now, from, msg)
	default:
		return nil
	}
}

// recordAgentReport stores an agent count received from another node, if it reported one.
func (m *Machine) recordAgentReport(count int) {
	if count == 0 {
		return
	}
	m.reported[m.reportsReceived%maxAgentReports] = count
	m.reportsReceived++
}

// MembershipComplete reports whether this node knows at least as many agents as most of the latest messages reported.
// A node that has just joined does not until it has received all of them. Not every report needs to be covered,
// because a few nodes may still count an agent that this node knows to be down.
func (m *Machine) MembershipComplete() bool {
	received := min(m.reportsReceived, maxAgentReports)
	if received < minAgentReports {
		return false
	}
	covered := 0
	for _, reported := range m.reported[:received] {
		if m.countAgents() >= reported {
			covered++
		}
	}
	return covered*completeDenominator >= received*completeNumerator
}

// countAgents returns how many agents may hold flows: those that are present and those that may return. Those in phase empty have no
// target, and often leave soon after, which not all nodes learn at the same time. Two processes at one address count once: the agent was
// restarted, and its former process left or is not yet known to be down.
func (m *Machine) countAgents() int {
	if m.agentCountVersion == m.version && m.version != 0 {
		return m.agentCount
	}
	agentAddresses := make(map[netip.AddrPort]struct{}, len(m.present))
	if m.self.Role == state.RoleAgent && m.self.Phase != state.PhaseEmpty {
		agentAddresses[m.self.Gossip] = struct{}{}
	}
	for _, r := range m.present {
		if r.Role == state.RoleAgent && r.Phase != state.PhaseEmpty {
			agentAddresses[r.Gossip] = struct{}{}
		}
	}
	for _, r := range m.departed {
		agentAddresses[r.Gossip] = struct{}{}
	}
	m.agentCount = len(agentAddresses)
	m.agentCountVersion = m.version
	return m.agentCount
}

// updateSelf applies a change to this node's own member, keeps the digest in step and spreads the result.
func (m *Machine) updateSelf(change func(*state.Member)) {
	bucket := memberBucket(m.self.ID)
	m.digest[bucket] ^= memberHash(m.self)
	change(&m.self)
	m.digest[bucket] ^= memberHash(m.self)
	m.version++
	m.updates.addMember(m.self.ID)
}

// detectPause checks whether this process was paused for so long that others may have declared it dead.
// If so, the node announces a newer incarnation and restarts its failure detection, since the missing replies
// are due to its own pause.
func (m *Machine) detectPause(now time.Time) {
	previous := m.lastTick
	m.lastTick = now
	if previous.IsZero() || now.Sub(previous) <= m.cfg.maxPause {
		return
	}
	m.stats.Pauses++
	m.probe = probe{}
	for _, r := range m.present {
		if r.Health == state.HealthSuspect {
			r.deadAt = now.Add(m.suspicionTimeout())
		}
	}
	m.recordAbsence(previous, now)
}

// PausedTooLong reports whether the machine has not been ticked for so long that others may have declared
// this process dead. Its view of the fleet must then not be acted on until the next tick.
func (m *Machine) PausedTooLong(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.cfg.maxPause
}

// recordAbsence announces a newer incarnation with the time of this node's absence. Absences at most
// absenceMergeGapMillis apart are merged into one.
func (m *Machine) recordAbsence(from, to time.Time) {
	start, end := state.Millis(from.UnixMilli()), state.Millis(to.UnixMilli())
	m.updateSelf(func(self *state.Member) {
		self.Incarnation++
		if self.AbsentTo == 0 || start-self.AbsentTo > absenceMergeGapMillis {
			self.AbsentFrom = start
		}
		self.AbsentTo = end
	})
}

// suspicionTimeout returns the time between suspicion and death; it grows with the logarithm of the fleet's size.
func (m *Machine) suspicionTimeout() time.Duration {
	factor := max(1, bits.Len(uint(m.Size()))/suspicionLogDivisor)
	return m.cfg.minSuspicionTimeout * time.Duration(factor)
}

func (m *Machine) randomPresent() *row {
	if len(m.present) == 0 {
		return nil
	}
	return m.present[m.rng.IntN(len(m.present))]
}

// prepare completes a message with as many updates as its size and the byte budget allow. Records are sent
// even when the budget is used up: they are few, and an edit must reach all nodes in time even while a burst
// of deaths or joins uses up the budget.
func (m *Machine) prepare(to netip.AddrPort, msg Message) Send {
	msg.From = m.self.ID
	msg.AgentCount = m.countAgents()
	m.addUpdates(&msg, m.budget.tokens <= 0)
	m.budget.tokens -= float64(msg.size())
	return Send{To: to, Message: msg}
}

// Package gossip is the membership and dissemination protocol as a deterministic state machine:
// events and the time go in, messages to send come out.
//
// Membership follows SWIM (Das, Gupta and Motivala, 2002): random probes, indirect probes,
// suspicion, and incarnation numbers, with rumours carried by the probes' own messages. Rumours also
// go out on their own, and now and then two nodes compare digests and exchange what differs
// (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987). The platform's
// records travel the same way as members do.
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

// Machine is one node's state. It is not safe for use by several goroutines.
type Machine struct {
	cfg config
	rng *rand.Rand

	// self is this node's row; nobody else raises its incarnation.
	self state.Member
	// rows holds every other member ever heard of and not yet forgotten; never self.
	rows map[state.InstanceID]*row
	// present lists the members in rows that are alive or suspected, in no order; each row knows its index.
	present []*row
	// digest is the XOR of the hashes of self and the present rows, for each bucket.
	digest [MemberBuckets]uint32
	// version rises with every change that a reader of Members can see.
	version uint64

	records *state.RecordSet
	updates updateQueue

	probe          probe
	probeOrder     []state.InstanceID
	forwardedPings map[uint64]forwardedPing
	sequence       uint64

	nextProbe   time.Time
	nextUpdates time.Time
	nextSync    time.Time
	lastTick    time.Time
	budget      tokenBucket
	stats       Stats

	// agentReports holds the numbers of agents that others agentReports of last, newest at toldNext-1.
	agentReports         [maxAgentReports]int
	agentReportsReceived int
	// agentCount is the number of agentCount present when version was agentsVersion.
	agentCount        int
	agentCountVersion uint64
}

// Stats counts what the machine did; it only grows.
type Stats struct {
	// Deaths counts members declared dead by this node or by hearsay.
	Deaths uint64
	// Refutations counts rumours of this node's own death that it denied.
	Refutations uint64
	// Pauses counts pauses of this process that were long enough to be declared dead.
	Pauses uint64
	// Deferred counts messages not sent because the byte budget was used up.
	Deferred uint64
}

type row struct {
	state.Member
	// index is the row's place in Machine.present, or -1.
	index int
	// deadAt is when a suspect is declared dead.
	deadAt time.Time
	// changedAt is when the row's health last changed, by this node's clock.
	changedAt time.Time
}

type probe struct {
	member   state.InstanceID
	sequence uint64
	// indirectAt is when helpers are asked; failAt is when the target becomes a suspect.
	indirectAt   time.Time
	suspectAt    time.Time
	indirectSent bool
	active       bool
}

type forwardedPing struct {
	requesterAddress netip.AddrPort
	requester        state.InstanceID
	sequence         uint64
	expiresAt        time.Time
}

// New returns a machine for the instance that self describes. The seed fixes all its random choices.
func New(self state.Member, book *state.RecordSet, seed uint64, options ...Option) *Machine {
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
		records:        book,
		forwardedPings: make(map[uint64]forwardedPing),
	}
	burst := cfg.bytesPerSecond * budgetBurstSeconds
	m.budget = tokenBucket{bytesPerSecond: cfg.bytesPerSecond, maxTokens: burst, tokens: burst}
	m.digest[memberBucket(self.ID)] ^= memberHash(self)
	m.updates.addMember(self.ID)
	return m
}

// Self returns this node's own row.
func (m *Machine) Self() state.Member { return m.self }

// RecordSet returns the records that the machine spreads.
func (m *Machine) RecordSet() *state.RecordSet { return m.records }

// Version rises with every visible change of members or records.
func (m *Machine) Version() uint64 { return m.version + m.records.Version() }

// Stats returns the counts so far.
func (m *Machine) Stats() Stats { return m.stats }

// Size returns how many members are present, with this node.
func (m *Machine) Size() int { return len(m.present) + 1 }

// Members returns all rows that are known, with this node's, in no order.
func (m *Machine) Members() []state.Member {
	all := make([]state.Member, 0, len(m.rows)+1)
	all = append(all, m.self)
	for _, r := range m.rows {
		all = append(all, r.Member)
	}
	return all
}

// DownSince returns when this node learnt that a member is no longer running.
func (m *Machine) DownSince(id state.InstanceID) (time.Time, bool) {
	r, ok := m.rows[id]
	if !ok || r.Present() {
		return time.Time{}, false
	}
	return r.changedAt, true
}

// Announce changes what this node says of itself and spreads it with a higher incarnation.
func (m *Machine) Announce(change func(*state.Announcement)) {
	m.updateSelf(func(self *state.Member) {
		change(&self.Announcement)
		self.Incarnation++
	})
}

// MergeRecord takes in a record, for example from a read of the platform, and spreads it if it is new.
func (m *Machine) MergeRecord(r state.Record) bool {
	if !m.records.Merge(r) {
		return false
	}
	m.updates.addRecord(r.Key)
	return true
}

// LoadRecord takes in a record that others know already, from a snapshot or a first read of the platform,
// without spreading it.
func (m *Machine) LoadRecord(r state.Record) { m.records.Merge(r) }

// LoadMember takes in a row from a snapshot, dead ones included, without spreading it.
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

// Leave marks this node as left and returns the messages that tell others.
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

// Join returns messages that introduce this node to addresses it was given.
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

// Sync returns a message that compares digests with a random member now, besides the regular ones. It is for a node
// that knows itself to be incomplete.
func (m *Machine) Sync() []Send {
	r := m.randomPresent()
	if r == nil || m.budget.tokens <= 0 {
		return nil
	}
	return []Send{m.prepare(r.Gossip, Message{Kind: KindDigest, To: r.ID, Digest: m.currentDigest()})}
}

// Tick advances the machine to now and returns what is to be sent. It is called a few times in each
// spread period.
func (m *Machine) Tick(now time.Time) []Send {
	m.detectPause(now)
	m.budget.refill(now)
	var out []Send
	out = m.tickProbe(now, out)
	m.expireSuspects(now)
	out = m.tickUpdates(now, out)
	out = m.tickSync(now, out)
	return out
}

// Receive handles one message and returns what is to be sent.
func (m *Machine) Receive(now time.Time, from netip.AddrPort, msg Message) []Send {
	if msg.From == m.self.ID || m.self.Health == state.HealthLeft {
		return nil
	}
	m.mergeMembers(now, msg.Members)
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
		return m.handleDigest(from, msg)
	default:
		return nil
	}
}

// recordAgentReport remembers how many agents others told of last.
func (m *Machine) recordAgentReport(agents int) {
	m.agentReports[m.agentReportsReceived%maxAgentReports] = agents
	m.agentReportsReceived++
}

// MembershipComplete reports whether this node knows at least as many agents as most others told of last. A node that has just joined
// does not until it has been sent all of them. The few that have not heard yet of an agent's end do not count.
func (m *Machine) MembershipComplete() bool {
	heard := min(m.agentReportsReceived, maxAgentReports)
	if heard < minAgentReports {
		return false
	}
	covered := 0
	for _, told := range m.agentReports[:heard] {
		if m.countAgents() >= told {
			covered++
		}
	}
	return covered*completeDenominator >= heard*completeNumerator
}

// countAgents counts the agents that are present. Two processes at one address are one agent that was started again and
// a former one that is not yet known to be gone.
func (m *Machine) countAgents() int {
	if m.agentCountVersion == m.version && m.version != 0 {
		return m.agentCount
	}
	addresses := make(map[netip.AddrPort]struct{}, len(m.present))
	if m.self.Role == state.RoleAgent {
		addresses[m.self.Gossip] = struct{}{}
	}
	for _, r := range m.present {
		if r.Role == state.RoleAgent {
			addresses[r.Gossip] = struct{}{}
		}
	}
	m.agentCount = len(addresses)
	m.agentCountVersion = m.version
	return m.agentCount
}

func (m *Machine) updateSelf(change func(*state.Member)) {
	bucket := memberBucket(m.self.ID)
	m.digest[bucket] ^= memberHash(m.self)
	change(&m.self)
	m.digest[bucket] ^= memberHash(m.self)
	m.version++
	m.updates.addMember(m.self.ID)
}

// detectPause finds out that this process was paused for so long that others may have declared it
// dead. It then returns as a newer incarnation, and does not blame others for the silence.
func (m *Machine) detectPause(now time.Time) {
	last := m.lastTick
	m.lastTick = now
	if last.IsZero() || now.Sub(last) <= m.cfg.maxPause {
		return
	}
	m.stats.Pauses++
	m.probe = probe{}
	for _, r := range m.present {
		if r.Health == state.HealthSuspect {
			r.deadAt = now.Add(m.suspicionTimeout())
		}
	}
	m.recordAbsence(last, now)
}

// PausedTooLong reports whether the machine has not been ticked for so long that others may have declared
// this process dead. What it knows must then not be acted on until the next tick.
func (m *Machine) PausedTooLong(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.cfg.maxPause
}

// recordAbsence makes this node a newer incarnation that tells when it was away. Absences that follow
// each other closely are told as one.
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

// prepare fills a message with rumours as far as its size and the budget allow. Records go out even
// when the budget is used up: they are few, and an edit must be everywhere in time also while a burst
// of deaths or joins uses the budget.
func (m *Machine) prepare(to netip.AddrPort, msg Message) Send {
	msg.From = m.self.ID
	msg.AgentCount = m.countAgents()
	m.addUpdates(&msg, m.budget.tokens <= 0)
	m.budget.tokens -= float64(msg.size())
	return Send{To: to, Message: msg}
}

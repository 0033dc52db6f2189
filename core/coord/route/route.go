// Package route decides, for each packet that reaches a balancer, which agent it goes to.
//
// The decision needs no table of flows. A packet whose connection ID carries a route goes there; one
// that opens a flow goes to the winner of a weighted rendezvous hash over the service's agents
// (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996).
package route

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/proto/connid"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// Outcome is what became of a packet.
type Outcome uint8

// The outcomes; those from DropMalformed on are drops.
const (
	// Established packets went where their connection ID says.
	Established Outcome = iota
	// Opened packets belong to a new flow.
	Opened
	// Rerouted packets belong to a dead agent's flow; another agent answers with a stateless reset.
	Rerouted
	// DropMalformed packets are not QUIC.
	DropMalformed
	// DropForged packets have a connection ID that no agent made.
	DropForged
	// DropForeign packets have a connection ID of another service.
	DropForeign
	// DropNoAgent packets found no agent of their service.
	DropNoAgent
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	names := [OutcomeCount]string{
		"established", "opened", "rerouted", "dropMalformed", "dropForged", "dropForeign", "dropNoAgent",
	}
	return names[min(o, OutcomeCount-1)]
}

// Dropped reports whether the packet goes nowhere.
func (o Outcome) Dropped() bool { return o >= DropMalformed }

// Agent is one agent in a table.
type Agent struct {
	ID   state.InstanceID
	Flow netip.AddrPort
	// Weight is the agent's share of new flows; it is above zero.
	Weight float64
	hash   uint64
}

// service holds a service's agents.
type service struct {
	// takers are the agents that take new flows; if any of them is in the table's region, all are.
	takers []Agent
	// near is true if the takers are in the table's region.
	near bool
	// present are all agents thought to be running, draining ones included.
	present []Agent
}

// Table is an immutable view of the agents, for lookups from any goroutine.
type Table struct {
	services map[state.ServiceID]*service
	// holders maps the address of each agent that is known, dead ones included, to who is there.
	holders map[netip.AddrPort]holder
	// region is where new flows stay if they can.
	region state.Region
}

type holder struct {
	service state.ServiceID
	present bool
}

// New builds a table from the members for a node in a region: new flows go to agents there if there are
// any. Of two members with one address, a running one counts.
func New(members []state.Member, region state.Region) *Table {
	t := &Table{
		region:   region,
		services: make(map[state.ServiceID]*service),
		holders:  make(map[netip.AddrPort]holder),
	}
	for _, m := range members {
		if m.Role == state.RoleAgent {
			t.add(m)
		}
	}
	return t
}

func (t *Table) add(m state.Member) {
	id := m.Service.ID()
	if !t.holders[m.Flow].present {
		t.holders[m.Flow] = holder{service: id, present: m.Present()}
	}
	if !m.Present() {
		return
	}
	s := t.services[id]
	if s == nil {
		s = &service{}
		t.services[id] = s
	}
	agent := Agent{ID: m.ID, Flow: m.Flow, Weight: float64(max(1, m.Slots)), hash: m.ID.Hash()}
	s.present = append(s.present, agent)
	if m.AcceptsWork() && m.Health == state.HealthAlive {
		s.addTaker(agent, m.Region == t.region)
	}
}

func (s *service) addTaker(a Agent, near bool) {
	if near && !s.near {
		s.takers, s.near = nil, true
	}
	if near == s.near {
		s.takers = append(s.takers, a)
	}
}

// AcceptingAgents returns how many agents of a service take new flows.
func (t *Table) AcceptingAgents(id state.ServiceID) int {
	if s := t.services[id]; s != nil {
		return len(s.takers)
	}
	return 0
}

// Decide returns where a packet goes that came in on the address of a service. The reader belongs to
// the calling goroutine.
func (t *Table) Decide(set *keys.Set, reader *connid.Reader, id state.ServiceID, packet []byte) (netip.AddrPort, Outcome) {
	p, ok := connid.ParsePacket(packet)
	if !ok {
		return netip.AddrPort{}, DropMalformed
	}
	r, known := reader.Read(set, p.ID)
	if known && r.Service == id {
		return t.established(id, r.Agent, p.ID)
	}
	if p.MayOpenFlow {
		return t.open(id, p.ID)
	}
	if known {
		return netip.AddrPort{}, DropForeign
	}
	return netip.AddrPort{}, DropForged
}

// established returns the agent of an open flow. An address that no member is known to hold is
// trusted, so that a balancer without any view routes open flows.
func (t *Table) established(id state.ServiceID, agent netip.AddrPort, connID []byte) (netip.AddrPort, Outcome) {
	h, known := t.holders[agent]
	if !known || h.present && h.service == id {
		return agent, Established
	}
	to, ok := t.Choose(id, xxhash.Sum64(connID))
	if !ok {
		return netip.AddrPort{}, DropNoAgent
	}
	return to.Flow, Rerouted
}

func (t *Table) open(id state.ServiceID, connID []byte) (netip.AddrPort, Outcome) {
	to, ok := t.Choose(id, xxhash.Sum64(connID))
	if !ok {
		return netip.AddrPort{}, DropNoAgent
	}
	return to.Flow, Opened
}

// Choose returns the agent that wins the rendezvous for a hash: among those that take new flows, or
// among all that run if none does.
func (t *Table) Choose(id state.ServiceID, hash uint64) (Agent, bool) {
	s := t.services[id]
	if s == nil {
		return Agent{}, false
	}
	if len(s.takers) > 0 {
		return winner(s.takers, hash), true
	}
	if len(s.present) > 0 {
		return winner(s.present, hash), true
	}
	return Agent{}, false
}

// ChooseOther is Choose without one agent, for a packet that this agent passes on.
func (t *Table) ChooseOther(id state.ServiceID, hash uint64, without state.InstanceID) (Agent, bool) {
	s := t.services[id]
	if s == nil {
		return Agent{}, false
	}
	others := make([]Agent, 0, len(s.takers))
	for _, a := range s.takers {
		if a.ID != without {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return Agent{}, false
	}
	return winner(others, hash), true
}

// winner returns the agent with the highest weighted score. With u uniform in (0,1), the score
// -weight/ln(u) makes each agent win in proportion to its weight (Schindelhauer and Schomaker,
// "Weighted distributed hash tables", 2005).
func winner(agents []Agent, hash uint64) Agent {
	if sameWeight(agents) {
		return agents[highest(agents, hash)]
	}
	best := 0
	bestScore := math.Inf(-1)
	for i := range agents {
		u := (float64(state.Mix(hash^agents[i].hash)>>11) + 0.5) / (1 << 53)
		if score := -agents[i].Weight / math.Log(u); score > bestScore {
			best, bestScore = i, score
		}
	}
	return agents[best]
}

// highest returns the agent with the highest u. With equal weights the score rises with u, so the choice
// is the one that the scores would give, without a logarithm for each agent.
func highest(agents []Agent, hash uint64) int {
	best := 0
	var bestScore uint64
	for i := range agents {
		if score := rank.Score(hash, agents[i].hash); i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func sameWeight(agents []Agent) bool {
	for i := range agents {
		if agents[i].Weight != agents[0].Weight {
			return false
		}
	}
	return true
}

// Package route decides to which agent a balancer forwards each packet.
//
// The decision needs no table of flows. A packet whose connection ID carries a route is forwarded to the agent
// in that route; a packet that opens a flow is forwarded to the winner of a weighted rendezvous hash over the
// service's agents (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996).
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

// Outcome is how a packet was handled.
type Outcome uint8

// The outcomes; DropMalformed and all that follow it mean that the packet was dropped.
const (
	// Established means that the packet was forwarded to the agent in its connection ID.
	Established Outcome = iota
	// Opened means that the packet opens a new flow and was forwarded to the agent chosen for it.
	Opened
	// Rerouted means that the agent in the connection ID is dead or its address now belongs to another service; the
	// packet was forwarded to another agent, which answers with a stateless reset.
	Rerouted
	// DropMalformed means that the packet is not a QUIC packet.
	DropMalformed
	// DropForged means that no agent issued the packet's connection ID.
	DropForged
	// DropForeign means that the packet's connection ID belongs to another service.
	DropForeign
	// DropNoAgent means that the packet's service has no running agent.
	DropNoAgent
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

// String returns the outcome's label value in metrics.
func (o Outcome) String() string {
	names := [OutcomeCount]string{
		"established", "opened", "rerouted", "dropMalformed", "dropForged", "dropForeign", "dropNoAgent",
	}
	return names[min(o, OutcomeCount-1)]
}

// Dropped reports whether the packet was dropped.
func (o Outcome) Dropped() bool { return o >= DropMalformed }

// Agent is an agent to which packets can be forwarded.
type Agent struct {
	ID state.InstanceID
	// Flow is the UDP address for encapsulated packets.
	Flow netip.AddrPort
	// Weight is the agent's share of new flows, relative to the other agents; it is above zero.
	Weight float64
	// hash is ID.Hash(), computed once because every rendezvous needs it.
	hash uint64
}

// service holds the agents of a service.
type service struct {
	// accepting are the agents to which new flows are sent. If any agent that accepts new flows is in the table's
	// region, only those in the region are listed.
	accepting []Agent
	// inRegion is true if the accepting agents are in the table's region.
	inRegion bool
	// present are all agents that are assumed to be running, draining ones included. If any of them is outside the evacuated
	// data centres, only those outside are listed.
	present []Agent
	// anyOutside is true if the present agents are outside the evacuated data centres.
	anyOutside bool
}

// Table is an immutable routing table of the agents. It is safe for concurrent use.
type Table struct {
	services map[state.ServiceID]*service
	// knownAgents maps the flow address of each known agent, dead ones included, to the agent's state.
	knownAgents map[netip.AddrPort]knownAgent
	// suspects has the flow addresses of the agents that are suspected to be dead.
	suspects map[netip.AddrPort]struct{}
	// region is the region whose agents are preferred for new flows.
	region state.Region
	// evacuated has the data centres to whose agents no new flows are sent.
	evacuated map[state.DataCentre]bool
}

// knownAgent is the state of the agent at an address.
type knownAgent struct {
	service state.ServiceID
	present bool
}

// New builds the table for a node in a region from the members. New flows go to agents in that region if any of
// them accepts new flows. If two members have the same address, a running one takes precedence.
func New(members []state.Member, region state.Region, options ...Option) *Table {
	t := &Table{
		region:      region,
		services:    make(map[state.ServiceID]*service),
		knownAgents: make(map[netip.AddrPort]knownAgent),
		suspects:    make(map[netip.AddrPort]struct{}),
	}
	for _, option := range options {
		option(t)
	}
	for _, m := range members {
		if m.Role == state.RoleAgent {
			t.add(m)
		}
	}
	return t
}

// add enters an agent into the table.
func (t *Table) add(m state.Member) {
	id := m.Service.ID()
	if !t.knownAgents[m.Flow].present {
		t.knownAgents[m.Flow] = knownAgent{service: id, present: m.Present()}
	}
	if !m.Present() {
		return
	}
	if m.Health == state.HealthSuspect {
		t.suspects[m.Flow] = struct{}{}
	}
	s := t.services[id]
	if s == nil {
		s = &service{}
		t.services[id] = s
	}
	agent := Agent{ID: m.ID, Flow: m.Flow, Weight: float64(max(1, m.Slots)), hash: m.ID.Hash()}
	outside := !t.evacuated[m.DataCentre]
	s.addPresent(agent, outside)
	if m.AcceptsWork() && m.Health == state.HealthAlive && outside {
		s.addAccepting(agent, m.Region == t.region)
	}
}

// addAccepting adds an agent that accepts new flows. The first one in the region replaces those outside it.
func (s *service) addAccepting(a Agent, inRegion bool) {
	if inRegion && !s.inRegion {
		s.accepting, s.inRegion = nil, true
	}
	if inRegion == s.inRegion {
		s.accepting = append(s.accepting, a)
	}
}

// Suspects reports whether the agent with a flow address is suspected to be dead.
func (t *Table) Suspects(agent netip.AddrPort) bool {
	_, suspected := t.suspects[agent]
	return suspected
}

// AcceptingAgents returns the number of a service's agents that accept new flows. If any of them is in the table's
// region, only those in the region are counted.
func (t *Table) AcceptingAgents(id state.ServiceID) int {
	if s := t.services[id]; s != nil {
		return len(s.accepting)
	}
	return 0
}

// Decide returns the agent address to which a packet that arrived on a service's address is forwarded. The reader
// must not be shared with another goroutine.
func (t *Table) Decide(set *keys.Set, reader *connid.Reader, id state.ServiceID, packet []byte) (netip.AddrPort, Outcome) {
	p, ok := connid.ParsePacket(packet)
	if !ok {
		return netip.AddrPort{}, DropMalformed
	}
	r, known := reader.Read(set, p.ID)
	if known && r.Service == id {
		return t.routeEstablished(id, r.Agent, p.ID)
	}
	if p.MayOpenFlow {
		return t.routeNewFlow(id, p.ID)
	}
	if known {
		return netip.AddrPort{}, DropForeign
	}
	return netip.AddrPort{}, DropForged
}

// routeEstablished routes a packet of an open flow. An agent address that belongs to no known member is trusted, so
// that a balancer that knows no members yet still routes open flows.
func (t *Table) routeEstablished(id state.ServiceID, agent netip.AddrPort, connID []byte) (netip.AddrPort, Outcome) {
	a, known := t.knownAgents[agent]
	if !known || a.present && a.service == id {
		return agent, Established
	}
	to, ok := t.Choose(id, xxhash.Sum64(connID))
	if !ok {
		return netip.AddrPort{}, DropNoAgent
	}
	return to.Flow, Rerouted
}

// routeNewFlow routes a packet that opens a flow.
func (t *Table) routeNewFlow(id state.ServiceID, connID []byte) (netip.AddrPort, Outcome) {
	to, ok := t.Choose(id, xxhash.Sum64(connID))
	if !ok {
		return netip.AddrPort{}, DropNoAgent
	}
	return to.Flow, Opened
}

// Choose returns the agent that wins the rendezvous for a hash: among the agents that accept new flows, or among
// all running agents if none accepts new flows. Agents in evacuated data centres are left out unless no other is running.
func (t *Table) Choose(id state.ServiceID, hash uint64) (Agent, bool) {
	s := t.services[id]
	if s == nil {
		return Agent{}, false
	}
	if len(s.accepting) > 0 {
		return winner(s.accepting, hash), true
	}
	if len(s.present) > 0 {
		return winner(s.present, hash), true
	}
	return Agent{}, false
}

// ChooseOther returns the agent that wins the rendezvous for a hash among the agents that accept new flows, except
// for the excluded one. An agent uses it, with itself excluded, to pass a packet on to another agent.
func (t *Table) ChooseOther(id state.ServiceID, hash uint64, excluded state.InstanceID) (Agent, bool) {
	s := t.services[id]
	if s == nil {
		return Agent{}, false
	}
	others := make([]Agent, 0, len(s.accepting))
	for _, a := range s.accepting {
		if a.ID != excluded {
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
	if equalWeights(agents) {
		return agents[highestScore(agents, hash)]
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

// highestScore returns the index of the agent with the highest unweighted score. With equal weights the weighted
// score rises with the unweighted one, so the choice is the same, without a logarithm for each agent.
func highestScore(agents []Agent, hash uint64) int {
	best := 0
	var bestScore uint64
	for i := range agents {
		if score := rank.Score(hash, agents[i].hash); i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func equalWeights(agents []Agent) bool {
	for i := range agents {
		if agents[i].Weight != agents[0].Weight {
			return false
		}
	}
	return true
}

package steer_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// newHarnessWithAgents returns a harness with n agents that know all flows of their targets.
func newHarnessWithAgents(t *testing.T, n int) *harness {
	h := newHarness(t)
	agents := make([]byte, n)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	h.settle(agents...)
	h.reportKnowsAllFlows(agents...)
	h.clear()
	return h
}

// reportKnowsAllFlows sends load reports of agents that know all flows of their targets.
func (h *harness) reportKnowsAllFlows(agents ...byte) {
	for _, a := range agents {
		h.report(a, relay.Load{Accepting: true, Headroom: 40, Slots: 4, KnowsAllFlows: true, ReportInterval: 200 * time.Millisecond})
	}
}

// replyToQuery replies to a query as its agent does: if resolved, that the target holds none of the flows, and otherwise
// that the agent can't tell.
func (h *harness) replyToQuery(s sent, resolved bool) {
	m := relay.Message{Kind: relay.KindQueryReply}
	if resolved {
		m.Flows = s.Flows
	} else {
		m.Unresolved = s.Flows
	}
	h.b.HandleMessage(h.now, s.to, m, state.Segment{})
}

// sentQueries returns all queries that the balancer sent.
func (h *harness) sentQueries() []sent {
	var found []sent
	for _, s := range h.sent {
		if s.Kind == relay.KindQuery {
			found = append(found, s)
		}
	}
	return found
}

// After a power loss in a large fleet, a balancer that has restarted receives packets of hundreds of flows that no
// target holds. It must query for all of them together, with a few datagrams per agent, rather than one per flow and
// agent.
func TestManyUnknownFlowsAreBatchedIntoFewQueries(t *testing.T) {
	const agents, flows = 50, 400
	h := newHarnessWithAgents(t, agents)
	for n := range uint16(flows) {
		h.b.HandlePacket(h.now, dataSegment(flow(n)))
	}
	h.b.FlushQueries()
	h.is.Equal(h.count(relay.KindProbe), 0)
	queries := h.sentQueries()
	h.is.Equal(len(queries), agents*flows/relay.MaxFlows)
	for _, s := range queries {
		h.replyToQuery(s, true)
	}
	h.is.Equal(len(h.resets), flows)
}

// A single flow must not be delayed until more flows have accumulated for a query.
func TestSingleUnknownFlowIsQueriedAtOnce(t *testing.T) {
	h := newHarnessWithAgents(t, 3)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.b.FlushQueries()
	h.is.Equal(len(h.sentQueries()), 3)
	h.receiveLocation(agent(2), agent(2), flow(1))
	forwarded, _ := h.last(relay.KindData) // a query carries no packet, so the holder does not have it yet
	h.is.Equal(forwarded.to, agent(2))
}

// An agent that has restarted beside a running target can't tell whether the target holds a flow until it has tried the
// packet there.
func TestAgentThatCannotResolveAFlowIsProbed(t *testing.T) {
	h := newHarnessWithAgents(t, 3)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.b.FlushQueries()
	for _, s := range h.sentQueries() {
		h.replyToQuery(s, s.to != agent(2))
	}
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.count(relay.KindProbe), 1)
	h.receiveLocation(agent(2), agent(2), flow(1))
	h.is.Equal(h.count(relay.KindData), 0) // the probe has delivered the packet
}

// If a query with many flows is lost, it is sent once more. After that the search is left to the clients' next
// retransmissions.
func TestLostQueryIsSentAgain(t *testing.T) {
	h := newHarnessWithAgents(t, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.b.FlushQueries()
	h.replyToQuery(h.sentQueries()[0], true)
	h.now = h.now.Add(200 * time.Millisecond)
	h.reportKnowsAllFlows(1, 2)
	h.b.Tick(h.now)
	queries := h.sentQueries()
	h.is.Equal(len(queries), 3)
	h.is.Equal(queries[2].to, queries[1].to)
	h.replyToQuery(queries[2], true)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

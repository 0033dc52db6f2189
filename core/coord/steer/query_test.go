package steer_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// fleetOf gives the world n agents that know all flows of their targets.
func fleetOf(t *testing.T, n int) *world {
	w := newWorld(t)
	agents := make([]byte, n)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	w.settled(agents...)
	w.reportComplete(agents...)
	w.clear()
	return w
}

func (w *world) reportComplete(agents ...byte) {
	for _, a := range agents {
		w.report(a, relay.Load{Accepting: true, Headroom: 40, Slots: 4, KnowsAllFlows: true, ReportInterval: 200 * time.Millisecond})
	}
}

// answers lets an agent answer the questions that it was sent: it holds none of the flows, or can't tell.
func (w *world) answers(s sent, sure bool) {
	m := relay.Message{Kind: relay.KindQueryReply}
	if sure {
		m.Flows = s.Flows
	} else {
		m.Unresolved = s.Flows
	}
	w.b.HandleMessage(w.now, s.to, m, state.Segment{})
}

func (w *world) questions() []sent {
	var found []sent
	for _, s := range w.sent {
		if s.Kind == relay.KindQuery {
			found = append(found, s)
		}
	}
	return found
}

// Pattern: a large fleet lost power, and a balancer that is back gets the packets of hundreds of flows that nobody holds.
// It asks for all of them together: a few datagrams an agent, and not one for each flow and agent.
func TestManyUnknownFlowsCostFewMessages(t *testing.T) {
	const agents, flows = 50, 400
	w := fleetOf(t, agents)
	for n := range uint16(flows) {
		w.b.HandlePacket(w.now, data(flow(n)))
	}
	w.b.FlushQueries()
	w.is.Equal(w.count(relay.KindProbe), 0)
	asked := w.questions()
	w.is.Equal(len(asked), agents*flows/relay.MaxFlows)
	for _, s := range asked {
		w.answers(s, true)
	}
	w.is.Equal(len(w.resets), flows)
}

// A packet that comes alone is asked for at once.
func TestOneUnknownFlowIsAskedForAtOnce(t *testing.T) {
	w := fleetOf(t, 3)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.b.FlushQueries()
	w.is.Equal(len(w.questions()), 3)
	w.held(agent(2), agent(2), flow(1))
	carried, _ := w.last(relay.KindData) // the holder does not have the packet yet
	w.is.Equal(carried.to, agent(2))
}

// An agent that has started again beside a running target can't tell without the packet.
func TestAgentThatCannotTellGetsThePacket(t *testing.T) {
	w := fleetOf(t, 3)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.b.FlushQueries()
	for _, s := range w.questions() {
		w.answers(s, s.to != agent(2))
	}
	w.is.Equal(len(w.resets), 0)
	w.is.Equal(w.count(relay.KindProbe), 1)
	w.held(agent(2), agent(2), flow(1))
	w.is.Equal(w.count(relay.KindData), 0) // the packet went there with the question
}

// Pattern: a datagram with many questions is lost. It is sent once more, and then the flows are left to their clients' next copies.
func TestLostQuestionsAreRepeated(t *testing.T) {
	w := fleetOf(t, 2)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.b.FlushQueries()
	w.answers(w.questions()[0], true)
	w.now = w.now.Add(200 * time.Millisecond)
	w.reportComplete(1, 2)
	w.b.Tick(w.now)
	asked := w.questions()
	w.is.Equal(len(asked), 3)
	w.is.Equal(asked[2].to, asked[1].to)
	w.answers(asked[2], true)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

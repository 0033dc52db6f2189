package gossip_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/state"
)

// departureWindow is how long an agent that left may return in these tests.
const departureWindow = 8 * time.Second

// newDepartureNetwork returns a network of n nodes that tell of departures, after they have met.
func newDepartureNetwork(n int) *network {
	w := newNetwork(0, 5)
	w.options = []gossip.Option{gossip.WithDepartureWindow(departureWindow)}
	for i := range n {
		w.start(i, 1)
	}
	w.run(3 * time.Second)
	return w
}

// leave makes a node leave as planned, and returns its member as it was.
func (w *network) leave(i int) state.Member {
	m := w.node(i)
	left := m.Self()
	delete(w.machines, address(i))
	w.deliver(address(i), m.Leave())
	return left
}

// knows reports whether a node knows that an agent left and may return.
func (w *network) knows(i int, agent state.Member) bool {
	for _, d := range w.node(i).Departures(w.now) {
		if d.Member.ID == agent.ID && d.Member.Gossip == agent.Gossip && d.Member.Service == agent.Service {
			return true
		}
	}
	return false
}

// Guards against a node that starts while an agent is being restarted and takes the agents that are present for all there are (review/2).
func TestNodeThatStartsLearnsOfAnAgentThatMayReturn(t *testing.T) {
	is := is.New(t)
	w := newDepartureNetwork(5)
	left := w.leave(3)
	w.run(time.Second)
	w.start(7, 2)
	is.True(w.knows(7, left)) // its first message is answered with it
	w.run(3 * time.Second)
	is.True(w.node(7).MembershipComplete())
	w.run(departureWindow)
	for _, i := range []int{0, 1, 2, 4, 7} {
		is.True(!w.knows(i, left))
	}
}

// Guards against a departure that is forgotten because all nodes that knew the agent were restarted as well, and against one that is passed
// on for longer than the agent may take to return.
func TestDepartureIsPassedOnByNodesThatDidNotKnowTheAgent(t *testing.T) {
	is := is.New(t)
	w := newDepartureNetwork(4)
	left := w.leave(3)
	leftAt := w.now
	for i := range 3 {
		w.start(i+10, 2)
		w.run(500 * time.Millisecond)
	}
	for i := range 3 {
		w.leave(i)
		w.run(500 * time.Millisecond)
	}
	w.machines[address(0)] = w.node(10) // seeds are answered by a node that never knew the agent as present
	w.start(20, 3)
	delete(w.machines, address(0))
	is.True(w.knows(20, left))
	w.run(departureWindow - w.now.Sub(leftAt) - 200*time.Millisecond)
	is.True(w.knows(20, left))
	w.run(400 * time.Millisecond)
	is.True(!w.knows(20, left))
}

// Guards against a node that takes its membership for complete because it knows all agents that are present, and that is never told of
// the one that left since its digest is equal.
func TestNodeThatCountsTooFewAgentsIsNotCompleteAndIsTold(t *testing.T) {
	is := is.New(t)
	w := newDepartureNetwork(5)
	w.leave(3)
	w.run(2 * time.Second)
	joiner := gossip.New(state.Member{ID: "balancer-9/4", Announcement: state.Announcement{Role: state.RoleBalancer, Gossip: address(9)}},
		state.NewRecordSet(), 1, w.options...)
	for i := range 5 {
		if m, ok := w.machines[address(i)]; ok {
			joiner.LoadMember(w.now, m.Self())
			m.LoadMember(w.now, joiner.Self())
		}
	}
	for range 8 {
		joiner.Receive(w.now, address(0), gossip.Message{Kind: gossip.KindUpdates, From: w.node(0).Self().ID, AgentCount: 5})
	}
	is.True(!joiner.MembershipComplete())
	w.machines[address(9)] = joiner
	for range 20 {
		w.deliver(address(9), joiner.Sync())
	}
	is.True(joiner.MembershipComplete())
	is.Equal(len(joiner.Departures(w.now)), 1)
}

// Guards against lost flows that wait for agents that can't hold them: one whose target had terminated, one that has returned, and one that
// was declared dead.
func TestAgentsThatHoldNoFlowsDoNotCountAsMayReturn(t *testing.T) {
	is := is.New(t)
	w := newDepartureNetwork(6)
	w.node(3).Announce(func(a *state.Announcement) { a.Phase = state.PhaseEmpty })
	w.run(time.Second)
	w.leave(3)
	returned := w.leave(4)
	w.run(time.Second)
	w.start(4, 2)
	dead := w.node(5).Self()
	delete(w.machines, address(5))
	w.run(10 * time.Second)
	is.True(!w.knows(0, dead))
	is.True(!w.knows(0, returned))
	is.Equal(len(w.node(0).Departures(w.now)), 0)
	is.True(w.node(0).MembershipComplete())
}

// Guards against a window that is on for programs that did not ask for it.
func TestDeparturesAreNotToldByDefault(t *testing.T) {
	is := is.New(t)
	w := newNetwork(4, 6)
	w.run(3 * time.Second)
	w.leave(3)
	w.run(time.Second)
	w.start(7, 2)
	is.Equal(len(w.node(7).Departures(w.now)), 0)
}

package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// The agents of a fleet whose route was moved from service to other.
const (
	formerAgent  = 1
	currentAgent = 2
)

// historyTTL is longer than any flow can be open that was placed by a configuration from before the balancer's first one.
const historyTTL = flowTTL + time.Minute

// newHarnessAfterMove returns a harness whose balancer has started after the route was moved, so that it has only the present
// configuration.
func newHarnessAfterMove(t *testing.T) *harness {
	h := newHarness(t)
	h.b.Configure(h.now, config(8, other))
	h.bothServices()
	h.advanceBothServices(3 * time.Second)
	h.clear()
	return h
}

// bothServices sets the membership to an agent of each service.
func (h *harness) bothServices() {
	h.b.SetMembers(h.now, []state.Member{member(formerAgent, service, state.HealthAlive), member(currentAgent, other, state.HealthAlive)})
}

// advanceBothServices advances the clock while the agents of both services report that their targets are idle.
func (h *harness) advanceBothServices(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(100*time.Millisecond, formerAgent)
		h.b.HandleMessage(h.now, agent(currentAgent), relay.Message{
			Kind: relay.KindLoad, HasLoad: true, Service: other.ID(),
			Load: relay.Load{Accepting: true, Headroom: 40, Slots: 4, ReportInterval: 200 * time.Millisecond},
		}, state.Segment{})
	}
}

// asked returns the agents that the balancer has probed.
func (h *harness) asked() []netip.AddrPort {
	var asked []netip.AddrPort
	for _, s := range h.sent {
		if s.Kind == relay.KindProbe {
			asked = append(asked, s.to)
		}
	}
	return asked
}

// A route was moved and then all processes were restarted: no balancer knows the former service any more, and the agents know only the
// flows whose packets have passed since. The flows that stayed at the former service were reset.
func TestFlowOfAFormerServiceIsFoundByARestartedBalancer(t *testing.T) {
	h := newHarnessAfterMove(t)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.asked(), []netip.AddrPort{agent(currentAgent)}) // the service of the route is asked first
	h.receiveNotFound(agent(currentAgent), flow(1), noPacket)
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.asked(), []netip.AddrPort{agent(currentAgent), agent(formerAgent)})
	h.receiveLocation(agent(formerAgent), agent(formerAgent), flow(1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	forwarded, ok := h.last(relay.KindData)
	h.is.True(ok)
	h.is.Equal(forwarded.to, agent(formerAgent))
	h.is.Equal(len(h.resets), 0)
}

// A flow that no target holds is reset as soon as the agents of all services have said so, or its client would wait for its timeout.
func TestFlowThatNoServiceHoldsIsResetByARestartedBalancer(t *testing.T) {
	h := newHarnessAfterMove(t)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(currentAgent), flow(1), noPacket)
	h.receiveNotFound(agent(formerAgent), flow(1), noPacket)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// The agents of other services are asked only while a flow may be open that an unknown configuration placed there. Otherwise each lost
// flow would cost a message to every agent of the fleet.
func TestOtherServicesAreNotAskedOnceAllFormerFlowsHaveExpired(t *testing.T) {
	h := newHarnessAfterMove(t)
	h.advanceBothServices(historyTTL)
	h.clear()
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(currentAgent), flow(1), noPacket)
	h.is.Equal(h.asked(), []netip.AddrPort{agent(currentAgent)})
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// A flow may be open at a service whose weight in the route was set to zero before the balancer started.
func TestFlowOfAServiceWithoutWeightIsFoundByARestartedBalancer(t *testing.T) {
	h := newHarness(t)
	c := config(8, other)
	route := c.Routes[virtual]
	route.Services = append(route.Services, state.WeightedService{Service: "third", Weight: 1})
	c.Routes[virtual] = route
	h.b.Configure(h.now, c)
	h.bothServices()
	h.advanceBothServices(3 * time.Second)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(currentAgent), flow(1), noPacket)
	h.receiveLocation(agent(formerAgent), agent(formerAgent), flow(1))
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.count(relay.KindData), 0) // the probe has delivered the packet
}

// settleBothServices returns a harness whose balancer has run with the first configuration for so long that its history is complete.
func settleBothServices(t *testing.T) *harness {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	h.bothServices()
	h.advanceBothServices(historyTTL)
	h.clear()
	return h
}

// configAfter returns a configuration that is known to have replaced another one.
func configAfter(follows, version state.ConfigVersion, svc state.ServiceName) state.Config {
	c := config(version, svc)
	c.Follows = follows
	return c
}

// When configurations follow each other quickly, a balancer that fetches them from others gets only the newest one. A flow that another
// balancer placed by one in between was reset once its packets arrived here.
func TestFlowOfASkippedConfigurationIsFound(t *testing.T) {
	h := settleBothServices(t)
	h.b.Configure(h.now, configAfter(2, 3, service)) // version 2 had a route to the other service
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(formerAgent), flow(1), noPacket)
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.asked(), []netip.AddrPort{agent(formerAgent), agent(currentAgent)})
}

// A change after which no flow can be elsewhere must not make each lost flow cost a message to every agent.
func TestOtherServicesAreNotAskedAfterASuccessiveConfiguration(t *testing.T) {
	h := settleBothServices(t)
	h.b.Configure(h.now, configAfter(1, 2, service))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(formerAgent), flow(1), noPacket)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// After a loss of power a flow is lost at all services, and its client waits for the reset. Agents that can answer a query must not be asked
// one service after the other, unless there are so many that a query to each would cost more than the time is worth.
func TestFewAgentsOfOtherServicesAreQueriedAtOnce(t *testing.T) {
	for _, test := range []struct {
		otherAgents byte
		queried     int
	}{{64, 65}, {65, 1}} {
		h := newHarness(t)
		h.b.Configure(h.now, config(8, service))
		members := []state.Member{member(1, service, state.HealthAlive)}
		for n := range test.otherAgents {
			members = append(members, member(2+n, other, state.HealthAlive))
		}
		h.b.SetMembers(h.now, members)
		h.now = h.now.Add(time.Second)
		for _, m := range members {
			h.b.HandleMessage(h.now, m.Flow, relay.Message{
				Kind: relay.KindLoad, HasLoad: true, Service: m.Service.ID(),
				Load: relay.Load{Accepting: true, KnowsAllFlows: true, ReportInterval: time.Second},
			}, state.Segment{})
		}
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.b.FlushQueries()
		h.is.Equal(h.count(relay.KindQuery), test.queried)
	}
}

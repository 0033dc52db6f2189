package steer_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// newRegionHarness returns a harness with agents 1 and 2 in region x and agent 3 in region y, and a route that allows some regions.
func newRegionHarness(t *testing.T, allowed ...state.Region) *harness {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.Regions = allowed }))
	h.membersIn("x", "x", "y")
	h.now = h.now.Add(5 * time.Second)
	for n := byte(1); n <= 3; n++ {
		h.report(n, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ReportInterval: time.Second})
	}
	return h
}

// membersIn gives the balancer agents 1, 2, ... in regions.
func (h *harness) membersIn(regions ...state.Region) {
	var members []state.Member
	for i, region := range regions {
		m := member(byte(i+1), service, state.HealthAlive)
		m.Region = region
		members = append(members, m)
	}
	h.b.SetMembers(h.now, members)
}

// Guards against new flows in regions that their route does not allow, which may not lawfully leave the others.
func TestNewFlowsStayInAllowedRegions(t *testing.T) {
	h := newRegionHarness(t, "y", "z")
	for n := range uint16(60) {
		h.b.HandlePacket(h.now, openingSegment(flow(n), 0))
	}
	h.report(3, relay.Load{Accepting: true, ReportInterval: time.Second})
	h.b.HandlePacket(h.now, openingSegment(flow(100), 0)) // is queued, though targets of region x have headroom
	h.report(1, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ReportInterval: time.Second})
	h.b.Tick(h.now)
	for _, s := range h.sent {
		h.is.True(s.Kind != relay.KindOpen || s.to == agent(3))
	}
	h.is.Equal(h.count(relay.KindOpen), 40)
	h.is.Equal(len(h.resets), 0)
}

// A flow that has no target in its regions is refused at once, so that its client learns the outcome early. A retransmitted opening
// packet does not go to a target whose region is no longer allowed.
func TestNewFlowWithoutAllowedTargetIsRefusedAtOnce(t *testing.T) {
	h := newRegionHarness(t, "z")
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
	last := h.decisions[len(h.decisions)-1]
	h.is.Equal(last.Event, relay.EventRefused)
	h.is.Equal(last.Reason, relay.ReasonNoHome)

	h = newRegionHarness(t, "x")
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.membersIn("y", "y", "x")
	h.b.HandlePacket(h.now, openingSegment(flow(1), 1))
	offered, _ := h.last(relay.KindOpen)
	h.is.Equal(offered.to, agent(3))
}

// A flow that was queued before its route was restricted, for targets that were full, has no home afterwards.
func TestQueuedFlowIsRefusedWhenItsRegionsHaveNoTarget(t *testing.T) {
	h := newRegionHarness(t, "y")
	h.report(3, relay.Load{Accepting: true, ReportInterval: time.Second})
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(len(h.resets), 0)
	restricted := configWith(func(r *state.Route) { r.Regions = []state.Region{"z"} })
	restricted.Version = 2
	h.b.Configure(h.now, restricted)
	h.b.Tick(h.now)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
	h.is.Equal(h.decisions[len(h.decisions)-1].Reason, relay.ReasonNoHome)
}

// The rate comes from the configuration. A target that refuses for its warm-up is full for 50 ms, and not out of service.
func TestTargetInWarmupIsTreatedAsFull(t *testing.T) {
	h := newHarness(t)
	c := config(1, service)
	c.Services = map[state.ServiceName]state.ServiceLimits{service: {WarmupRate: 4.5}}
	h.b.Configure(h.now, c)
	h.members(1)
	h.report(1, relay.Load{Accepting: true, Headroom: 9, Slots: 4, ReportInterval: time.Second})
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	offered, _ := h.last(relay.KindOpen)
	h.is.Equal(offered.WarmupRate, 4.5)
	h.b.HandleMessage(h.now, offered.to, relay.Message{Kind: relay.KindRefused, Flow: flow(1), Reason: relay.ReasonWarmingUp}, openingSegment(flow(1), 0))
	h.b.Tick(h.now)
	h.is.Equal(h.count(relay.KindOpen), 1)
	h.is.Equal(len(h.resets), 0)
	h.now = h.now.Add(50 * time.Millisecond)
	h.b.Tick(h.now)
	h.is.Equal(h.count(relay.KindOpen), 2)
}

package gate_test

import (
	"net/netip"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

func TestLoadReportIsMeasuredFromPackets(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.open(flow(1))
	h.receive(relay.KindData, dataSegment(flow(1)))
	h.is.Equal(h.g.Outstanding(), 1)
	h.now = h.now.Add(40 * time.Millisecond)
	h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	h.is.Equal(h.g.Outstanding(), 0)
	h.clear()
	h.advance(300*time.Millisecond, "t1", 1)
	load := h.sentOfKind(relay.KindLoad)[0].Load
	h.is.Equal(load.ServiceTime, 40*time.Millisecond)
	h.is.Equal(load.Flows, 1)
	h.is.Equal(load.Slots, 2)
	h.is.True(load.Accepting)
}

// When an instance is removed its target stops first. Balancers must not wait for replies about flows from an agent that stops after
// its target, so the agent reports that the target is down, rather than that it is stopping itself.
func TestStoppingGateReportsThatTargetIsDown(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.g.Deregister(h.now, "t1")
	h.clear()
	h.g.Stop(h.now)
	h.is.Equal(h.sentOfKind(relay.KindLoad)[0].Load.Reason, relay.ReasonTargetDown)
}

// If more new flows arrive than the target can answer in time, the excess ones are returned to the balancers. They get a
// report as soon as the target has headroom again.
func TestFullTargetGetsNoNewFlows(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	for n := range uint16(6) { // maxOutstandingPerSlot (3) for each of the two slots
		h.open(flow(n))
		h.receive(relay.KindData, dataSegment(flow(n)))
	}
	h.clear()
	h.receive(relay.KindOpen, openingSegment(flow(99)))
	h.is.Equal(len(h.delivered), 0)
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonFull)
	h.now = h.now.Add(30 * time.Millisecond)
	h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	h.is.Equal(len(h.sentOfKind(relay.KindLoad)), 2) // the headroom is reported to both balancers without delay
	h.receive(relay.KindOpen, openingSegment(flow(99)))
	h.is.Equal(h.delivered, []string{"syn"})
}

// An outage may leave a backlog of flows that are already late. They are accepted only if the target has a free slot; its queue
// is kept for flows that can still be answered in time.
func TestLateFlowIsRefusedWithoutFreeSlot(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	offer := func(n uint16, late bool) {
		h.g.HandleMessage(h.now, balancer1, relay.Message{
			Kind: relay.KindOpen, Flow: flow(n), Service: service.ID(), Late: late, Packet: openingSegment(flow(n)).Packet,
		}, openingSegment(flow(n)))
	}
	offer(1, true)
	offer(2, true) // both slots are in use now
	offer(3, true)
	h.is.Equal(len(h.delivered), 2)
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonFull)
	offer(4, false)
	h.is.Equal(len(h.delivered), 3)
	// Balancers with queued late flows get a report as soon as a slot is free.
	for _, n := range []uint16{1, 2, 4} {
		h.open(flow(n))
		h.receive(relay.KindData, dataSegment(flow(n)))
	}
	offer(5, true)
	h.now = h.now.Add(20 * time.Millisecond)
	h.clear()
	h.answer(flow(4))
	h.is.Equal(len(h.sentOfKind(relay.KindLoad)), 0) // both slots are still in use
	h.answer(flow(1))
	h.is.Equal(len(h.sentOfKind(relay.KindLoad)), 2)
}

// Guards against floods of load reports when a fleet with many balancers is overloaded: the agent of a full target must not report
// headroom each time that a request ends, but at most maxHeadroomReportsPerSecond times.
func TestHeadroomReportsAreRateLimited(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	var list []netip.AddrPort
	for n := range byte(60) {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, n}), 7700))
	}
	h.g.SetBalancers(h.now, runningBalancers(list...))
	h.clear()
	end := h.now.Add(time.Second)
	for n := uint16(0); h.now.Before(end); n++ {
		for range 7 { // one more than maxOutstandingPerSlot (3) for each of the two slots
			n++
			h.open(flow(n))
			h.receive(relay.KindData, dataSegment(flow(n)))
		}
		for m := range uint16(7) {
			h.answer(flow(n - m))
		}
		h.now = h.now.Add(10 * time.Millisecond)
	}
	h.is.True(len(h.sentOfKind(relay.KindLoad)) <= 300)
}

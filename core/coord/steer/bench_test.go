package steer_test

import (
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

// benchFlows is how many flows a balancer forwards or owns at the design size: 70 new ones a second at 530 balancers,
// with three placements each (one at the forwarding balancer, two at owners), kept for a flow TTL of 60 s.
const benchFlows = 70 * 3 * 60

// serviceAgents is how many of the agents serve the service of the flows, unless a benchmark says otherwise; the others serve another
// one.
const serviceAgents = 50

// newBenchBalancer returns a balancer with agents, some of which serve the service of the flows, that have reported ample headroom.
func newBenchBalancer(agents, serving int) *steer.Balancer {
	b := steer.New(start, steer.Settings{Self: self, DataCentre: "a", FlowTTL: flowTTL}, steer.Actions{
		Send:       func(netip.AddrPort, relay.Message) {},
		Reset:      func(state.FlowID, uint32) {},
		OnDecision: func(relay.Decision) {},
	})
	b.Configure(start, config(1, service))
	var members []state.Member
	for n := range agents {
		m := member(byte(n), service, state.HealthAlive)
		m.ID = state.NewInstanceID("agent", state.Millis(n))
		if n >= serving {
			m.Service = other
		}
		m.Flow = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7700)
		members = append(members, m)
	}
	b.SetMembers(start, members)
	for _, m := range members {
		b.HandleMessage(start, m.Flow, relay.Message{Kind: relay.KindLoad, HasLoad: true, Service: m.Service.ID(), Load: relay.Load{
			Accepting: true, Headroom: 1 << 20, Slots: 4, ReportInterval: time.Second,
		}}, state.Segment{})
	}
	return b
}

// BenchmarkPlaceNewFlow places new flows at one of the 8 best ranked targets of a service, in a fleet of the design size.
func BenchmarkPlaceNewFlow(b *testing.B) {
	for _, targets := range []int{serviceAgents, 200, 1000} {
		b.Run(strconv.Itoa(targets), func(b *testing.B) {
			balancer := newBenchBalancer(5400, targets)
			b.ResetTimer()
			for n := range b.N {
				f := flow(uint16(n))
				f.Client.IP[1] = byte(n >> 16)
				balancer.HandlePacket(start, openingSegment(f, 0))
			}
		})
	}
}

// BenchmarkForwardData forwards packets of flows that have a placement.
func BenchmarkForwardData(b *testing.B) {
	balancer := newBenchBalancer(200, serviceAgents)
	for n := range uint16(10_000) {
		balancer.HandlePacket(start, openingSegment(flow(n), 0))
	}
	packet := dataSegment(flow(77))
	b.ResetTimer()
	for range b.N {
		balancer.HandlePacket(start, packet)
	}
}

// BenchmarkPlacementMemory measures the memory of the placements at the design size.
func BenchmarkPlacementMemory(b *testing.B) {
	var before, after runtime.MemStats
	for range b.N {
		balancer := newBenchBalancer(200, serviceAgents)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for n := range uint16(benchFlows) {
			balancer.HandlePacket(start, openingSegment(flow(n), 0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(balancer)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchFlows, "bytes/flow")
}

// BenchmarkLoadReportWithQueuedFlows handles a load report with headroom for one more request while 100 new flows are
// queued.
func BenchmarkLoadReportWithQueuedFlows(b *testing.B) {
	balancer := newBenchBalancer(200, serviceAgents)
	full := relay.Message{Kind: relay.KindLoad, HasLoad: true, Service: service.ID(), Load: relay.Load{Accepting: true, Slots: 4, ReportInterval: time.Second}}
	agentAt := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 7700)
	}
	for n := range serviceAgents {
		balancer.HandleMessage(start, agentAt(n), full, state.Segment{})
	}
	for n := range uint16(100) {
		balancer.HandlePacket(start, openingSegment(flow(n), 0))
	}
	withHeadroom := full
	withHeadroom.Load.Headroom = 1
	for n := range b.N {
		next := flow(uint16(100 + n%60000))
		balancer.HandlePacket(start, openingSegment(next, 0))
		balancer.HandleMessage(start, agentAt(n%serviceAgents), withHeadroom, state.Segment{})
		balancer.HandleMessage(start, agentAt(n%serviceAgents), full, state.Segment{})
	}
}

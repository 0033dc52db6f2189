package steer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// drawBalancer returns a balancer in data centre a with random targets of service s, some of which accept new flows.
func drawBalancer(t *rapid.T, now time.Time) *Balancer {
	b := New(now, Settings{DataCentre: "a"}, Actions{})
	byName := rapid.SampledFrom([]state.DataCentre{"a", "b", "c"})
	full := rapid.IntRange(0, 10).Draw(t, "tenths that are full")
	for n := range rapid.IntRange(0, 90).Draw(t, "targets") {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7700)
		dataCentre := byName.Draw(t, "data centre")
		b.targets.byAddress[address] = &target{
			address: address, service: "s", hash: relay.NodeHash(address), dataCentre: dataCentre, region: state.Region(dataCentre),
			member: true, evacuations: &b.evacuations, lastReportAt: now, refusesLateUntil: now.Add(time.Duration(rapid.IntRange(0, 1).Draw(t, "refuses late"))),
			load: relay.Load{
				Accepting: true, Slots: 4, ReportInterval: time.Second,
				Headroom:    max(0, rapid.IntRange(0, 9).Draw(t, "headroom")+1-full),
				Outstanding: rapid.IntRange(0, 6).Draw(t, "outstanding"),
				ServiceTime: time.Duration(rapid.IntRange(1, 50).Draw(t, "service time")) * time.Millisecond,
			},
		}
	}
	b.targets.index()
	return b
}

// chooseBySorting is the former choice, which ranks all targets.
func chooseBySorting(b *Balancer, now time.Time, targets []*target, flow state.FlowID, excluded []*target, late bool) (*target, int) {
	var best *target
	considered := 0
	for i, group := range b.targets.candidateGroups(flow, targets) {
		t, accepting := b.targets.cheapest(now, group, excluded, late)
		considered += accepting
		if t != nil && (best == nil || b.targets.cost(now, t) < b.targets.cost(now, best)) {
			best = t
		}
		if best != nil && (i > 0 || b.targets.hasFreeSlot(now, best)) {
			return best, considered
		}
	}
	if best == nil {
		return nil, len(targets)
	}
	return best, considered
}

// Guards against a selection that considers other targets than ranking all of them does, or in another order: balancers that compute
// different groups for a flow would not find it where another one placed it.
func TestSelectionChoosesAsRankingAllTargetsDoes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		b := drawBalancer(t, now)
		flow := state.FlowID{Client: state.Endpoint{Port: rapid.Uint16().Draw(t, "client")}}
		route := rapid.SampledFrom([]state.Route{{}, {Regions: []state.Region{"b"}}, {Regions: []state.Region{"a", "c"}}}).Draw(t, "route")
		targets := b.targets.allowed(route, "s")
		c := &candidates{}
		c.start(flow, b.targets.allowedPair(route, "s"))
		for _, expected := range b.targets.candidateGroups(flow, targets) {
			if group := c.next(); !slices.Equal(group, expected) {
				t.Fatalf("group %v, expected %v", group, expected)
			}
		}
		if group := c.next(); group != nil {
			t.Fatalf("surplus group %v", group)
		}
		excluded := targets[:min(len(targets), rapid.IntRange(0, 3).Draw(t, "excluded"))]
		late := rapid.Bool().Draw(t, "late")
		expected, expectedCount := chooseBySorting(b, now, targets, flow, excluded, late)
		if chosen, count := b.targets.choose(now, route, "s", flow, excluded, late); chosen != expected || count != expectedCount {
			t.Fatalf("chose %v of %d, expected %v of %d", chosen, count, expected, expectedCount)
		}
	})
}

package main

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"

	"monsoonstep/core/coord/route"
	"monsoonstep/core/proto/connid"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// benchDecisions measures the time and the allocations of the routing decision for one packet: of established
// flows with few and many services and flows, and of new flows with few and many targets.
func benchDecisions() error {
	set, err := keys.New(keys.Fleet{1}, state.Ring{}, 0)
	if err != nil {
		return err
	}
	for _, services := range []int{1, 10000} {
		table, ids := newTable(services, 1)
		for _, flows := range []int{1000, 300000} {
			packets := establishedPackets(set, ids, flows)
			name := fmt.Sprintf("established_ns_%d_services_%d_flows", services, flows)
			ns, allocs := timeDecisions(table, set, ids, packets)
			fmt.Printf("%-44s %7.0f ns %3d allocations\n", name, ns, allocs)
			checkAtMost(name, ns, maxDecisionNanos)
			checkAtMost(name+"_allocations", float64(allocs), 0)
		}
	}
	for _, targets := range []int{7, 200} {
		table, ids := newTable(1, targets)
		name := fmt.Sprintf("new_flow_ns_%d_targets", targets)
		ns, allocs := timeDecisions(table, set, ids, openingPackets(4096))
		fmt.Printf("%-44s %7.0f ns %3d allocations\n", name, ns, allocs)
	}
	return nil
}

// newTable returns a routing table of services with the given number of agents each, and the services' IDs.
func newTable(services, agents int) (*route.Table, []state.ServiceID) {
	var members []state.Member
	var ids []state.ServiceID
	for s := range services {
		name := state.ServiceName(fmt.Sprintf("service-%d", s))
		ids = append(ids, name.ID())
		for a := range agents {
			members = append(members, state.Member{
				ID: state.InstanceID(fmt.Sprintf("agent-%d-%d/1", s, a)),
				Announcement: state.Announcement{
					Role: state.RoleAgent, Service: name, Slots: 2, Phase: state.PhaseServing, Flow: agentAddress(s*agents + a),
				},
			})
		}
	}
	return route.New(members, ""), ids
}

func agentAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7402)
}

// servicePacket is a packet and the index of its service in the list of service IDs.
type servicePacket struct {
	service int
	bytes   []byte
}

// establishedPackets returns one short-header packet for each flow; the flows are spread over the services.
func establishedPackets(set *keys.Set, ids []state.ServiceID, flows int) []servicePacket {
	var packets []servicePacket
	for n := range flows {
		service := n % len(ids)
		p := append([]byte{0x40}, connid.Append(nil, set, connid.Route{
			Agent: agentAddress(service), Service: ids[service], Serial: connid.Serial(n),
		})...)
		packets = append(packets, servicePacket{service, append(p, make([]byte, 14)...)})
	}
	return packets
}

// openingPackets returns the first packet of each of a number of new flows.
func openingPackets(flows int) []servicePacket {
	var packets []servicePacket
	for n := range flows {
		packets = append(packets, servicePacket{0, openingPacket(uint64(n))})
	}
	return packets
}

// openingPacket returns a packet with the header of a client's first packet and n as its connection ID.
func openingPacket(n uint64) []byte {
	p := make([]byte, packetBytes)
	copy(p, []byte{0xc0, 0, 0, 0, 1, 8})
	binary.BigEndian.PutUint64(p[6:], n)
	return p
}

// timeDecisions returns the nanoseconds and allocations of one decision.
func timeDecisions(table *route.Table, set *keys.Set, ids []state.ServiceID, packets []servicePacket) (float64, int64) {
	result := testing.Benchmark(func(b *testing.B) {
		var reader connid.Reader
		b.ReportAllocs()
		for n := range b.N {
			p := &packets[n%len(packets)]
			if _, outcome := table.Decide(set, &reader, ids[p.service], p.bytes); outcome.Dropped() {
				b.Fatal(outcome)
			}
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N), result.AllocsPerOp()
}

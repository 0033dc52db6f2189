package hops_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/hops"
	"monsoonstep/core/state"
)

func drawAddress(t *rapid.T, label string) netip.AddrPort {
	n := rapid.Uint32().Draw(t, label)
	port := rapid.Uint16Range(1, 65535).Draw(t, label+" port")
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), port)
}

func drawFlows(t *rapid.T, name string) []state.FlowID {
	var flows []state.FlowID
	for range rapid.IntRange(0, relay.MaxFlows).Draw(t, name) {
		flows = append(flows, state.FlowID{
			Client: state.EndpointOf(drawAddress(t, name)), Virtual: state.EndpointOf(drawAddress(t, name)),
		})
	}
	return flows
}

func drawMessage(t *rapid.T) relay.Message {
	m := relay.Message{
		Late:    rapid.Bool().Draw(t, "late"),
		Assumed: rapid.Bool().Draw(t, "assumed"),
		Kind:    relay.Kind(rapid.IntRange(1, int(relay.KindCount)-1).Draw(t, "kind")),
		Flow: state.FlowID{
			Client: state.EndpointOf(drawAddress(t, "client")), Virtual: state.EndpointOf(drawAddress(t, "virtual")),
		},
		Service:          state.ServiceID(rapid.Uint32().Draw(t, "service")),
		Config:           state.ConfigVersion(rapid.Uint64().Draw(t, "config")),
		Holder:           drawAddress(t, "holder"),
		Reason:           relay.Reason(rapid.IntRange(0, int(relay.ReasonNoHome)).Draw(t, "reason")),
		LatencyObjective: time.Duration(rapid.IntRange(0, 1e4).Draw(t, "latency objective")) * time.Millisecond,
		WarmupRate:       float64(rapid.IntRange(0, 1000).Draw(t, "warmup rate")) / 4,
		Flows:            drawFlows(t, "flows"),
		Unresolved:       drawFlows(t, "unresolved"),
		Packet:           rapid.SliceOfN(rapid.Byte(), 1, 1300).Draw(t, "packet"),
	}
	if m.HasLoad = rapid.Bool().Draw(t, "has load"); m.HasLoad {
		m.Load = relay.Load{
			KnowsAllFlows:   rapid.Bool().Draw(t, "knows all flows"),
			Accepting:       rapid.Bool().Draw(t, "accepting"),
			Failing:         rapid.Bool().Draw(t, "failing"),
			Outstanding:     rapid.IntRange(0, 1000).Draw(t, "outstanding"),
			MeanOutstanding: float64(rapid.IntRange(0, 1000).Draw(t, "mean outstanding")) / 4,
			Headroom:        rapid.IntRange(0, 100).Draw(t, "headroom"),
			Flows:           rapid.IntRange(0, 5000).Draw(t, "open flows"),
			Slots:           rapid.IntRange(0, 100).Draw(t, "slots"),
			ServiceTime:     time.Duration(rapid.IntRange(0, 1e6).Draw(t, "service time")) * time.Microsecond,
			ServiceSamples:  rapid.IntRange(0, relay.MaxServiceSamples).Draw(t, "service samples"),
			WarmupLeft:      time.Duration(rapid.IntRange(0, 1e4).Draw(t, "warmup left")) * time.Millisecond,
			ReportInterval:  time.Duration(rapid.IntRange(0, 1e4).Draw(t, "report interval")) * time.Millisecond,
		}
	}
	return m
}

func TestRelayRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := drawMessage(rt)
		decoded, err := hops.DecodeRelay(hops.AppendRelay(nil, m))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(decoded, m)
	})
}

func TestGossipRoundTrip(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.7:7700")
	m := gossip.Message{
		Kind: gossip.KindDiff, Sequence: 9, From: "a/1", To: "b/2", Target: "c/3", TargetAddress: address, AgentCount: 12,
		Members: []state.Member{{
			ID: "d/4", Incarnation: 5, Health: state.HealthSuspect,
			Announcement: state.Announcement{
				Role: state.RoleAgent, Service: "atelier", DataCentre: "x", Region: "y",
				Gossip: address, Flow: address, Peer: address, Slots: 7, Phase: state.PhaseServing, StoreUnreachable: true,
				Since: 1, AbsentFrom: 2, AbsentTo: 3,
			},
		}},
		Departures: []state.Departure{{
			Member: state.Member{ID: "e/5", Incarnation: 6, Health: state.HealthLeft, Announcement: state.Announcement{
				Role: state.RoleAgent, Service: "atelier", Gossip: address, Flow: address, Phase: state.PhaseServing,
			}},
			Age: 1234 * time.Millisecond,
		}},
		Records: []state.Record{{Key: "config", Revision: 8, Value: []byte("v")}},
		Digest:  &gossip.Digest{},
	}
	m.Digest.Members[3] = 17
	m.Digest.Records[5] = 19
	decoded, err := hops.DecodeGossip(hops.AppendGossip(nil, m))
	is.NoErr(err)
	is.Equal(decoded, m)
}

func TestMalformedDatagramsAreRejected(t *testing.T) {
	is := is.New(t)
	whole := hops.AppendRelay(nil, relay.Message{Kind: relay.KindData, Packet: []byte("packet")})
	for n := range len(whole) {
		_, err := hops.DecodeRelay(whole[:n])
		is.True(err != nil) // a truncated datagram
	}
	_, err := hops.DecodeRelay([]byte{byte(hops.TypeRelay), 8, 200, 1})
	is.True(err != nil) // an unknown kind
	_, err = hops.DecodeRelay([]byte{byte(hops.TypeRelay), 8, 0x85, 2})
	is.True(err != nil) // kind 261, of which the low eight bits are a known kind
	_, ok := hops.TypeOf([]byte{99})
	is.True(!ok) // an unknown type
}

// Guards against a departure that names no agent, which would enter the membership without an ID.
func TestGossipWithADepartureWithoutMemberIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := hops.DecodeGossip(hops.AppendGossip(nil, gossip.Message{Kind: gossip.KindDiff, From: "b/1", Departures: []state.Departure{{Age: time.Second}}}))
	is.True(err != nil)
}

// A member with a health, phase or role of a later version, or with an ID that no instance has, must not enter the membership.
func TestGossipWithInvalidMembersIsRejected(t *testing.T) {
	is := is.New(t)
	valid := state.Member{ID: "a/1", Health: state.HealthLeft, Announcement: state.Announcement{Role: state.RoleAgent, Phase: state.PhaseEmpty}}
	decode := func(change func(*state.Member)) error {
		m := valid
		change(&m)
		_, err := hops.DecodeGossip(hops.AppendGossip(nil, gossip.Message{Kind: gossip.KindUpdates, From: "b/1", Members: []state.Member{m}}))
		return err
	}
	is.NoErr(decode(func(*state.Member) {}))
	for _, change := range []func(*state.Member){
		func(m *state.Member) { m.Health = state.HealthLeft + 1 },
		func(m *state.Member) { m.Phase = state.PhaseEmpty + 1 },
		func(m *state.Member) { m.Role = state.RoleAgent + 1 },
		func(m *state.Member) { m.ID = "" },
		func(m *state.Member) { m.ID = state.InstanceID(strings.Repeat("a", 500)) },
	} {
		is.Equal(errs.KindOf(decode(change)), errs.BadInput)
	}
}

func FuzzDecodeHops(f *testing.F) {
	f.Add(hops.AppendRelay(nil, relay.Message{Kind: relay.KindLoad, HasLoad: true, Load: relay.Load{Accepting: true, Outstanding: 3}}))
	f.Add(hops.AppendGossip(nil, gossip.Message{Kind: gossip.KindPing, From: "a/1", Digest: &gossip.Digest{}}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if m, err := hops.DecodeRelay(datagram); err == nil {
			if reencoded, err := hops.DecodeRelay(hops.AppendRelay(nil, m)); err != nil || reencoded.Kind != m.Kind {
				t.Fatalf("a decoded message changes when it is encoded and decoded again: %v", err)
			}
		}
		if m, err := hops.DecodeGossip(datagram); err == nil && m.From == "" {
			t.Fatal("a message without a sender was accepted")
		}
	})
}

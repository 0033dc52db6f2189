package gossip

import (
	"net/netip"

	"monsoonstep/core/state"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	// KindPing requests an ack.
	KindPing Kind = iota + 1
	// KindAck replies to a ping with the ping's sequence.
	KindAck
	// KindPingRequest asks the receiver to ping another member and to pass its ack on (an indirect probe).
	KindPingRequest
	// KindUpdates carries updates only.
	KindUpdates
	// KindDigest carries the sender's digest; the receiver replies with diffs.
	KindDigest
	// KindDiff carries the sender's items from the buckets that differ from the receiver's digest. The first diff
	// in reply to a digest also carries the sender's digest.
	KindDiff
)

// Message is one datagram of the protocol. Every kind may carry members and records.
type Message struct {
	Kind     Kind
	Sequence uint64
	From     state.InstanceID
	// To is the member that the message is meant for; empty when the sender knows only an address. A receiver with
	// another ID does not reply, so that a process at a reused address does not keep the former member alive.
	To state.InstanceID
	// Target is the member to ping, in a ping request; TargetAddress is its gossip address.
	Target        state.InstanceID
	TargetAddress netip.AddrPort
	// AgentCount is how many agents may hold flows, as the sender knows them, each address counted once; zero if not reported.
	AgentCount int
	Members    []state.Member
	// Departures are agents that left as planned and may return.
	Departures []state.Departure
	Records    []state.Record
	// Digest is set in a digest, and in the first diff in reply to one.
	Digest *Digest
}

// MemberBuckets is the number of buckets in the digest of the membership.
const MemberBuckets = 128

// Digest summarises the members and records that a node knows. Buckets that differ hold items that differ; equal
// digests are taken to mean equal items.
type Digest struct {
	Members [MemberBuckets]uint32
	Records [state.RecordBuckets]uint32
}

// Send is a message to send and the address to send it to.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Upper bounds on the encoded sizes of the parts of a message, without their names and values.
const (
	headerBytes     = 64
	memberBaseBytes = 68
	downMemberBytes = 16
	departureBytes  = 12
	recordBaseBytes = 16
	digestBytes     = 4*(MemberBuckets+state.RecordBuckets) + 8
)

// memberBytes estimates the encoded size of a member; one without an announcement is shorter.
func memberBytes(m state.Member) int {
	if !m.Gossip.IsValid() {
		return downMemberBytes + len(m.ID)
	}
	return memberBaseBytes + len(m.ID) + len(m.Service) + len(m.DataCentre) + len(m.Region)
}

func recordBytes(r state.Record) int { return recordBaseBytes + len(r.Key) + len(r.Value) }

func departureSize(d state.Departure) int { return departureBytes + memberBytes(d.Member) }

// size returns an upper bound on the encoded and sealed size of a message in bytes.
func (m Message) size() int {
	n := headerBytes + len(m.From) + len(m.To) + len(m.Target)
	for _, member := range m.Members {
		n += memberBytes(member)
	}
	for _, departure := range m.Departures {
		n += departureSize(departure)
	}
	for _, record := range m.Records {
		n += recordBytes(record)
	}
	if m.Digest != nil {
		n += digestBytes
	}
	return n
}

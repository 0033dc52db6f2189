package gossip

import (
	"net/netip"

	"monsoonstep/core/state"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	// KindPing asks for an ack.
	KindPing Kind = iota + 1
	// KindAck answers a ping with the ping's sequence.
	KindAck
	// KindPingRequest asks the receiver to ping another member and to pass its ack on.
	KindPingRequest
	// KindUpdates carries rumours only.
	KindUpdates
	// KindDigest carries the sender's digest; the receiver answers with a diff.
	KindDigest
	// KindDiff carries what the receiver's digest showed to differ, and the sender's digest once.
	KindDiff
)

// Message is one datagram of the protocol. Every kind may carry members and records.
type Message struct {
	Kind     Kind
	Sequence uint64
	From     state.InstanceID
	// To is whom the sender meant to reach; empty when it knows only an address. A receiver with
	// another name does not answer, so an address that was reused does not keep its former holder alive.
	To state.InstanceID
	// Target is the member to ping in a ping request.
	Target        state.InstanceID
	TargetAddress netip.AddrPort
	// AgentCount is how many agents the sender takes for present, each address counted once; zero if it does not tell.
	AgentCount int
	Members    []state.Member
	Records    []state.Record
	// Digest is present in a digest, and in the first diff that answers one.
	Digest *Digest
}

// MemberBuckets is how many buckets the digest of the membership has.
const MemberBuckets = 128

// Digest summarises what a node knows: equal digests mean equal knowledge.
type Digest struct {
	Members [MemberBuckets]uint32
	Records [state.RecordBuckets]uint32
}

// Send is an action: the message is to be sent to an address.
type Send struct {
	To      netip.AddrPort
	Message Message
}

const (
	headerBytes     = 64
	memberBaseBytes = 68
	downMemberBytes = 16
	recordBaseBytes = 16
	digestBytes     = 4*(MemberBuckets+state.RecordBuckets) + 8
)

func memberBytes(m state.Member) int {
	if !m.Gossip.IsValid() {
		return downMemberBytes + len(m.ID)
	}
	return memberBaseBytes + len(m.ID) + len(m.Service) + len(m.DataCentre) + len(m.Region)
}

func recordBytes(r state.Record) int { return recordBaseBytes + len(r.Key) + len(r.Value) }

// size estimates the encoded and sealed size of a message in bytes, from above.
func (m Message) size() int {
	n := headerBytes + len(m.From) + len(m.To) + len(m.Target)
	for _, member := range m.Members {
		n += memberBytes(member)
	}
	for _, record := range m.Records {
		n += recordBytes(record)
	}
	if m.Digest != nil {
		n += digestBytes
	}
	return n
}

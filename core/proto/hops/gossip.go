package hops

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// The field numbers of a gossip.Message.
const (
	gossipKind protowire.Number = iota + 1
	gossipSequence
	gossipFrom
	gossipTo
	gossipTarget
	gossipTargetAddress
	gossipMember
	gossipRecord
	gossipDigest
	gossipAgentCount
	gossipDeparture
)

// The field numbers of a state.Departure.
const (
	departureMember protowire.Number = iota + 1
	departureAgeMillis
)

// The field numbers of a state.Member.
const (
	memberID protowire.Number = iota + 1
	memberIncarnation
	memberHealth
	memberRole
	memberService
	memberDataCentre
	memberRegion
	memberGossip
	memberPeer
	memberSlots
	memberPhase
	memberSince
	memberAbsentFrom
	memberAbsentTo
	memberStoreUnreachable
)

// The field numbers of a state.Record.
const (
	recordKey protowire.Number = iota + 1
	recordRevision
	recordValue
)

// AppendGossip appends the datagram for m to b.
func AppendGossip(b []byte, m gossip.Message) []byte {
	b = append(b, byte(TypeGossip))
	b = appendVarint(b, gossipKind, uint64(m.Kind))
	b = appendVarint(b, gossipSequence, m.Sequence)
	b = appendString(b, gossipFrom, string(m.From))
	b = appendString(b, gossipTo, string(m.To))
	b = appendString(b, gossipTarget, string(m.Target))
	b = appendAddress(b, gossipTargetAddress, m.TargetAddress)
	b = appendVarint(b, gossipAgentCount, uint64(max(0, m.AgentCount)))
	for _, member := range m.Members {
		b = appendBytes(b, gossipMember, appendMember(nil, member))
	}
	for _, departure := range m.Departures {
		b = appendBytes(b, gossipDeparture, appendDeparture(nil, departure))
	}
	for _, record := range m.Records {
		b = appendBytes(b, gossipRecord, appendRecord(nil, record))
	}
	if m.Digest != nil {
		b = appendBytes(b, gossipDigest, appendDigest(nil, *m.Digest))
	}
	return b
}

func appendMember(b []byte, m state.Member) []byte {
	b = appendString(b, memberID, string(m.ID))
	b = appendVarint(b, memberIncarnation, uint64(m.Incarnation))
	b = appendVarint(b, memberHealth, uint64(m.Health))
	b = appendVarint(b, memberRole, uint64(m.Role))
	b = appendString(b, memberService, string(m.Service))
	b = appendString(b, memberDataCentre, string(m.DataCentre))
	b = appendString(b, memberRegion, string(m.Region))
	b = appendAddress(b, memberGossip, m.Gossip)
	b = appendAddress(b, memberPeer, m.Peer)
	b = appendVarint(b, memberSlots, uint64(max(0, m.Slots)))
	b = appendVarint(b, memberPhase, uint64(m.Phase))
	b = appendVarint(b, memberSince, uint64(m.Since))
	b = appendVarint(b, memberAbsentFrom, uint64(m.AbsentFrom))
	b = appendVarint(b, memberAbsentTo, uint64(m.AbsentTo))
	return appendVarint(b, memberStoreUnreachable, protowire.EncodeBool(m.StoreUnreachable))
}

func appendDeparture(b []byte, d state.Departure) []byte {
	b = appendBytes(b, departureMember, appendMember(nil, d.Member))
	return appendVarint(b, departureAgeMillis, uint64(max(0, d.Age.Milliseconds())))
}

func appendRecord(b []byte, r state.Record) []byte {
	b = appendString(b, recordKey, string(r.Key))
	b = appendVarint(b, recordRevision, uint64(r.Revision))
	return appendBytes(b, recordValue, r.Value)
}

// appendDigest appends the buckets of members and of records to b, each in four bytes.
func appendDigest(b []byte, d gossip.Digest) []byte {
	for _, bucket := range d.Members {
		b = binary.BigEndian.AppendUint32(b, bucket)
	}
	for _, bucket := range d.Records {
		b = binary.BigEndian.AppendUint32(b, bucket)
	}
	return b
}

// maxInstanceIDBytes limits the ID of a member: an instance's name and the time of its start.
const maxInstanceIDBytes = 128

// DecodeGossip decodes a datagram of TypeGossip. The message shares no memory with b. The error is of kind BadInput.
func DecodeGossip(b []byte) (gossip.Message, error) {
	var m gossip.Message
	if datagramType, ok := TypeOf(b); !ok || datagramType != TypeGossip {
		return m, errs.New(errs.BadInput, "datagram is not a gossip message")
	}
	err := forEachField(b[1:], func(f field) error { return setGossipField(&m, f) })
	if err != nil {
		return gossip.Message{}, err
	}
	if m.Kind == 0 || m.Kind > gossip.KindDiff || m.From == "" {
		return gossip.Message{}, errs.New(errs.BadInput, "gossip message has an unknown kind or no sender: kind %d from %q", m.Kind, m.From)
	}
	return m, nil
}

func setGossipField(m *gossip.Message, f field) error {
	var err error
	switch f.number {
	case gossipKind:
		m.Kind = gossip.Kind(f.value)
	case gossipSequence:
		m.Sequence = f.value
	case gossipFrom:
		m.From = state.InstanceID(f.bytes)
	case gossipTo:
		m.To = state.InstanceID(f.bytes)
	case gossipTarget:
		m.Target = state.InstanceID(f.bytes)
	case gossipTargetAddress:
		m.TargetAddress, err = decodeAddress(f.bytes)
	case gossipAgentCount:
		m.AgentCount = int(min(f.value, maxCount))
	case gossipMember:
		var member state.Member
		member, err = decodeMember(f.bytes)
		m.Members = append(m.Members, member)
	case gossipDeparture:
		var departure state.Departure
		departure, err = decodeDeparture(f.bytes)
		m.Departures = append(m.Departures, departure)
	case gossipRecord:
		var record state.Record
		err = forEachField(f.bytes, func(g field) error { setRecordField(&record, g); return nil })
		m.Records = append(m.Records, record)
	case gossipDigest:
		m.Digest, err = decodeDigest(f.bytes)
	}
	return err
}

func decodeMember(b []byte) (state.Member, error) {
	var m state.Member
	if err := forEachField(b, func(f field) error { return setMemberField(&m, f) }); err != nil {
		return m, err
	}
	if m.ID == "" || len(m.ID) > maxInstanceIDBytes {
		return m, errs.New(errs.BadInput, "gossip message has a member whose ID has %d bytes; 1 to %d are allowed", len(m.ID), maxInstanceIDBytes)
	}
	return m, nil
}

func decodeDeparture(b []byte) (state.Departure, error) {
	var d state.Departure
	err := forEachField(b, func(f field) error {
		var err error
		switch f.number {
		case departureMember:
			d.Member, err = decodeMember(f.bytes)
		case departureAgeMillis:
			d.Age = time.Duration(min(f.value, maxCount)) * time.Millisecond
		}
		return err
	})
	if err == nil && d.Member.ID == "" {
		err = errs.New(errs.BadInput, "gossip message has a departure without a member")
	}
	return d, err
}

func setMemberField(m *state.Member, f field) error {
	var err error
	switch f.number {
	case memberID:
		m.ID = state.InstanceID(f.bytes)
	case memberIncarnation:
		m.Incarnation = state.Incarnation(f.value)
	case memberHealth:
		m.Health, err = state.Health(f.value), checkEnum("health", f.value, uint64(state.HealthLeft))
	case memberRole:
		m.Role, err = state.Role(f.value), checkEnum("role", f.value, uint64(state.RoleAgent))
	case memberService:
		m.Service = state.ServiceName(f.bytes)
	case memberDataCentre:
		m.DataCentre = state.DataCentre(f.bytes)
	case memberRegion:
		m.Region = state.Region(f.bytes)
	case memberGossip:
		m.Gossip, err = decodeAddress(f.bytes)
		m.Flow = m.Gossip // A node uses one UDP address for messages of both types.
	case memberPeer:
		m.Peer, err = decodeAddress(f.bytes)
	case memberPhase:
		m.Phase, err = state.Phase(f.value), checkEnum("phase", f.value, uint64(state.PhaseEmpty))
	default:
		setMemberNumberField(m, f)
	}
	return err
}

// checkEnum returns an error of kind BadInput if the value of a member's field is above the highest that is known.
func checkEnum(name string, value, highest uint64) error {
	if value > highest {
		return errs.New(errs.BadInput, "gossip message has a member with the unknown %s %d", name, value)
	}
	return nil
}

// setMemberNumberField sets the fields of a member that are plain numbers or flags.
func setMemberNumberField(m *state.Member, f field) {
	switch f.number {
	case memberSlots:
		m.Slots = int(min(f.value, maxCount))
	case memberSince:
		m.Since = state.Millis(f.value)
	case memberAbsentFrom:
		m.AbsentFrom = state.Millis(f.value)
	case memberAbsentTo:
		m.AbsentTo = state.Millis(f.value)
	case memberStoreUnreachable:
		m.StoreUnreachable = f.value != 0
	}
}

func setRecordField(r *state.Record, f field) {
	switch f.number {
	case recordKey:
		r.Key = state.Key(f.bytes)
	case recordRevision:
		r.Revision = state.Revision(f.value)
	case recordValue:
		r.Value = append([]byte(nil), f.bytes...)
	}
}

func decodeDigest(b []byte) (*gossip.Digest, error) {
	var d gossip.Digest
	const size = 4 * (gossip.MemberBuckets + state.RecordBuckets)
	if len(b) != size {
		return nil, errs.New(errs.BadInput, "gossip digest has %d bytes instead of %d", len(b), size)
	}
	for i := range d.Members {
		d.Members[i] = binary.BigEndian.Uint32(b[4*i:])
	}
	b = b[4*gossip.MemberBuckets:]
	for i := range d.Records {
		d.Records[i] = binary.BigEndian.Uint32(b[4*i:])
	}
	return &d, nil
}

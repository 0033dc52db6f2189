// Package wire maps the domain types to bytes and back, by hand: the membership protocol's messages
// to sealed protobuf, and the platform's records to JSON.
package wire

import (
	"crypto/rand"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/proto/wire/wirepb"
	"monsoonstep/core/state"
)

const (
	nonceBytes  = 12
	sealedStart = 1 + nonceBytes
	maxNameLen  = 128
)

// SealGossip encodes a message and seals it with the keys of a generation. Generation 0 can be opened
// by every instance that has the fleet key.
func SealGossip(g *keys.Generation, msg gossip.Message) ([]byte, error) {
	plain, err := proto.Marshal(gossipToPB(msg))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "gossip message could not be encoded")
	}
	out := make([]byte, sealedStart, sealedStart+len(plain)+g.Gossip.Overhead())
	out[0] = byte(g.Number)
	if _, err := rand.Read(out[1:sealedStart]); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "no random numbers for a seal")
	}
	return g.Gossip.Seal(out, out[1:sealedStart], plain, out[:1]), nil
}

// OpenGossip opens and decodes a message, and returns the generation that it is sealed with. A message
// that fails is of kind Forged or BadInput.
func OpenGossip(set *keys.Set, sealed []byte) (gossip.Message, *keys.Generation, error) {
	if len(sealed) < sealedStart {
		return gossip.Message{}, nil, errs.New(errs.Forged, "gossip packet of %d bytes is too short", len(sealed))
	}
	g := set.At(state.Generation(sealed[0]))
	if g == nil {
		return gossip.Message{}, nil, errs.New(errs.Forged, "gossip packet is sealed with unknown generation %d", sealed[0])
	}
	plain, err := g.Gossip.Open(nil, sealed[1:sealedStart], sealed[sealedStart:], sealed[:1])
	if err != nil {
		return gossip.Message{}, nil, errs.Wrap(err, errs.Forged, "gossip packet failed its seal")
	}
	var pb wirepb.Gossip
	if err := proto.Unmarshal(plain, &pb); err != nil {
		return gossip.Message{}, nil, errs.Wrap(err, errs.BadInput, "gossip packet could not be decoded")
	}
	msg, err := gossipFromPB(&pb)
	return msg, g, err
}

func gossipToPB(msg gossip.Message) *wirepb.Gossip {
	pb := &wirepb.Gossip{
		Kind:          uint32(msg.Kind),
		Sequence:      msg.Sequence,
		From:          string(msg.From),
		To:            string(msg.To),
		Target:        string(msg.Target),
		TargetAddress: addressBytes(msg.TargetAddress),
	}
	for _, m := range msg.Members {
		pb.Members = append(pb.Members, MemberToPB(m))
	}
	for _, r := range msg.Records {
		pb.Records = append(pb.Records, RecordToPB(r))
	}
	if msg.Digest != nil {
		pb.Digest = &wirepb.Digest{Members: msg.Digest.Members[:], Records: msg.Digest.Records[:]}
	}
	return pb
}

func gossipFromPB(pb *wirepb.Gossip) (gossip.Message, error) {
	msg := gossip.Message{
		Kind:     gossip.Kind(pb.GetKind()),
		Sequence: pb.GetSequence(),
		From:     state.InstanceID(pb.GetFrom()),
		To:       state.InstanceID(pb.GetTo()),
		Target:   state.InstanceID(pb.GetTarget()),
	}
	var err error
	if msg.TargetAddress, err = addressFrom(pb.GetTargetAddress()); err != nil {
		return gossip.Message{}, err
	}
	for _, m := range pb.GetMembers() {
		member, err := MemberFromPB(m)
		if err != nil {
			return gossip.Message{}, err
		}
		msg.Members = append(msg.Members, member)
	}
	for _, r := range pb.GetRecords() {
		msg.Records = append(msg.Records, RecordFromPB(r))
	}
	if d := pb.GetDigest(); d != nil {
		if len(d.GetMembers()) != gossip.MemberBuckets || len(d.GetRecords()) != state.RecordBuckets {
			return gossip.Message{}, errs.New(errs.BadInput, "gossip digest has the wrong number of buckets")
		}
		msg.Digest = &gossip.Digest{
			Members: [gossip.MemberBuckets]uint32(d.GetMembers()),
			Records: [state.RecordBuckets]uint32(d.GetRecords()),
		}
	}
	return msg, nil
}

// MemberToPB maps a member to its message.
func MemberToPB(m state.Member) *wirepb.Member {
	return &wirepb.Member{
		Id:          string(m.ID),
		Incarnation: uint64(m.Incarnation),
		Health:      uint32(m.Health),
		Role:        uint32(m.Role),
		Service:     string(m.Service),
		DataCentre:  string(m.DataCentre),
		Region:      string(m.Region),
		Gossip:      addressBytes(m.Gossip),
		Flow:        addressBytes(m.Flow),
		Peer:        addressBytes(m.Peer),
		Slots:       uint32(m.Slots),
		Phase:       uint32(m.Phase),
		Since:       int64(m.Since),
		AbsentFrom:  int64(m.AbsentFrom),
		AbsentTo:    int64(m.AbsentTo),
	}
}

// MemberFromPB maps a message to a member and checks it.
func MemberFromPB(pb *wirepb.Member) (state.Member, error) {
	if pb.GetId() == "" || len(pb.GetId()) > maxNameLen {
		return state.Member{}, errs.New(errs.BadInput, "member has a name of %d bytes", len(pb.GetId()))
	}
	if pb.GetHealth() > uint32(state.HealthLeft) || pb.GetPhase() > uint32(state.PhaseEmpty) {
		return state.Member{}, errs.New(errs.BadInput, "member %q has an unknown health or phase", pb.GetId())
	}
	m := state.Member{
		ID:          state.InstanceID(pb.GetId()),
		Incarnation: state.Incarnation(pb.GetIncarnation()),
		Health:      state.Health(pb.GetHealth()),
		Announcement: state.Announcement{
			Role:       state.Role(pb.GetRole()),
			Service:    state.ServiceName(pb.GetService()),
			DataCentre: state.DataCentre(pb.GetDataCentre()),
			Region:     state.Region(pb.GetRegion()),
			Slots:      int(pb.GetSlots()),
			Phase:      state.Phase(pb.GetPhase()),
			Since:      state.Millis(pb.GetSince()),
			AbsentFrom: state.Millis(pb.GetAbsentFrom()),
			AbsentTo:   state.Millis(pb.GetAbsentTo()),
		},
	}
	var err error
	if m.Gossip, err = addressFrom(pb.GetGossip()); err != nil {
		return state.Member{}, err
	}
	if m.Flow, err = addressFrom(pb.GetFlow()); err != nil {
		return state.Member{}, err
	}
	if m.Peer, err = addressFrom(pb.GetPeer()); err != nil {
		return state.Member{}, err
	}
	return m, nil
}

// RecordToPB maps a record to its message.
func RecordToPB(r state.Record) *wirepb.Record {
	return &wirepb.Record{Key: string(r.Key), Revision: int64(r.Revision), Value: r.Value}
}

// RecordFromPB maps a message to a record.
func RecordFromPB(pb *wirepb.Record) state.Record {
	return state.Record{Key: state.Key(pb.GetKey()), Revision: state.Revision(pb.GetRevision()), Value: pb.GetValue()}
}

func addressBytes(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	raw, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return raw
}

func addressFrom(raw []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if len(raw) == 0 {
		return a, nil
	}
	if err := a.UnmarshalBinary(raw); err != nil {
		return a, errs.Wrap(err, errs.BadInput, "address of %d bytes is malformed", len(raw))
	}
	return a, nil
}

// Package wire encodes the domain types and decodes them: messages of the membership protocol as encrypted
// protobuf, the platform's records as JSON. The conversions are written by hand, so that the types of package
// state need no tags.
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
	// nonceBytes is the size of a nonce of AES-GCM.
	nonceBytes = 12
	// ciphertextOffset is the size of what precedes the ciphertext: the generation and the nonce.
	ciphertextOffset = 1 + nonceBytes
	// maxInstanceNameBytes limits the names of instances and the IDs of members.
	maxInstanceNameBytes = 128
)

// SealGossip encodes a message and seals it, that is, encrypts and authenticates it, with the gossip key of a
// generation. Every instance that has the fleet key can open messages of generation 0.
//
// The result is the generation's number (1 byte, authenticated), the nonce and the ciphertext.
func SealGossip(g *keys.Generation, msg gossip.Message) ([]byte, error) {
	plain, err := proto.Marshal(gossipToPB(msg))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "gossip message could not be encoded")
	}
	out := make([]byte, ciphertextOffset, ciphertextOffset+len(plain)+g.Gossip.Overhead())
	out[0] = byte(g.Number)
	if _, err := rand.Read(out[1:ciphertextOffset]); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "no random bytes for the nonce of a gossip message")
	}
	return g.Gossip.Seal(out, out[1:ciphertextOffset], plain, out[:1]), nil
}

// OpenGossip opens and decodes a message and returns the generation that it was sealed with. The error is of
// kind Forged if the message can't be opened, and BadInput if its content is malformed.
func OpenGossip(set *keys.Set, sealed []byte) (gossip.Message, *keys.Generation, error) {
	if len(sealed) < ciphertextOffset {
		return gossip.Message{}, nil, errs.New(errs.Forged, "gossip packet of %d bytes is shorter than its header", len(sealed))
	}
	g := set.At(state.Generation(sealed[0]))
	if g == nil {
		return gossip.Message{}, nil, errs.New(errs.Forged, "gossip packet is sealed with the unknown key generation %d", sealed[0])
	}
	plain, err := g.Gossip.Open(nil, sealed[1:ciphertextOffset], sealed[ciphertextOffset:], sealed[:1])
	if err != nil {
		return gossip.Message{}, nil, errs.Wrap(err, errs.Forged, "gossip packet could not be authenticated")
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
		TargetAddress: encodeAddress(msg.TargetAddress),
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
	if msg.TargetAddress, err = decodeAddress(pb.GetTargetAddress()); err != nil {
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

// MemberToPB converts a member to its protobuf message.
func MemberToPB(m state.Member) *wirepb.Member {
	return &wirepb.Member{
		Id:          string(m.ID),
		Incarnation: uint64(m.Incarnation),
		Health:      uint32(m.Health),
		Role:        uint32(m.Role),
		Service:     string(m.Service),
		DataCentre:  string(m.DataCentre),
		Region:      string(m.Region),
		Gossip:      encodeAddress(m.Gossip),
		Flow:        encodeAddress(m.Flow),
		Peer:        encodeAddress(m.Peer),
		Slots:       uint32(m.Slots),
		Phase:       uint32(m.Phase),
		Since:       int64(m.Since),
		AbsentFrom:  int64(m.AbsentFrom),
		AbsentTo:    int64(m.AbsentTo),
	}
}

// MemberFromPB checks a protobuf message and converts it to a member. The error is of kind BadInput.
func MemberFromPB(pb *wirepb.Member) (state.Member, error) {
	if pb.GetId() == "" || len(pb.GetId()) > maxInstanceNameBytes {
		return state.Member{}, errs.New(errs.BadInput, "member has an ID of %d bytes; it must have 1 to 128", len(pb.GetId()))
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
	if m.Gossip, err = decodeAddress(pb.GetGossip()); err != nil {
		return state.Member{}, err
	}
	if m.Flow, err = decodeAddress(pb.GetFlow()); err != nil {
		return state.Member{}, err
	}
	if m.Peer, err = decodeAddress(pb.GetPeer()); err != nil {
		return state.Member{}, err
	}
	return m, nil
}

// RecordToPB converts a record to its protobuf message.
func RecordToPB(r state.Record) *wirepb.Record {
	return &wirepb.Record{Key: string(r.Key), Revision: int64(r.Revision), Value: r.Value}
}

// RecordFromPB converts a protobuf message to a record.
func RecordFromPB(pb *wirepb.Record) state.Record {
	return state.Record{Key: state.Key(pb.GetKey()), Revision: state.Revision(pb.GetRevision()), Value: pb.GetValue()}
}

// encodeAddress returns the bytes of an address, or none if the address is not valid.
func encodeAddress(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	raw, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return raw
}

// decodeAddress returns the address in raw, or the zero address if raw is empty.
func decodeAddress(raw []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if len(raw) == 0 {
		return a, nil
	}
	if err := a.UnmarshalBinary(raw); err != nil {
		return a, errs.Wrap(err, errs.BadInput, "address of %d bytes is malformed", len(raw))
	}
	return a, nil
}

// Package hops is the encoding of the datagrams between balancers and agents: messages about flows
// (package relay) and about the membership (package gossip). Each datagram starts with a byte that tells which.
//
// Fields are protobuf wire format, written and read by hand with the protowire library: it needs no
// descriptors, whose memory every small process would pay for. Unknown fields are skipped.
package hops

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Type is the first byte of a datagram.
type Type byte

// The sorts of datagram.
const (
	// TypeRelay is a relay.Message.
	TypeRelay Type = 1
	// TypeGossip is a gossip.Message.
	TypeGossip Type = 2
)

// maxDatagram bounds a datagram in bytes.
const maxDatagram = 1 << 16

// TypeOf returns the sort of a datagram.
func TypeOf(b []byte) (Type, bool) {
	if len(b) == 0 || len(b) > maxDatagram {
		return 0, false
	}
	return Type(b[0]), b[0] == byte(TypeRelay) || b[0] == byte(TypeGossip)
}

// field is one decoded field: a number or bytes.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField calls take for each field of b in order.
func eachField(b []byte, take func(field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errs.New(errs.BadInput, "field tag can't be read")
		}
		b = b[n:]
		f := field{number: number}
		switch kind {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return errs.New(errs.BadInput, "field %d can't be read", number)
		}
		b = b[n:]
		if err := take(f); err != nil {
			return err
		}
	}
	return nil
}

// appendNumber appends a field unless its value is zero.
func appendNumber(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

// appendBytes appends a field unless it is empty.
func appendBytes(b []byte, number protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendBytes(b, value)
}

func appendText(b []byte, number protowire.Number, value string) []byte {
	if value == "" {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendString(b, value)
}

func appendAddress(b []byte, number protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() || !a.Addr().Unmap().Is4() {
		return b
	}
	return appendBytes(b, number, endBytes(state.EndpointOf(a)))
}

// endSize is the encoded size of an end in bytes.
const endSize = 6

func endBytes(e state.Endpoint) []byte {
	return []byte{e.IP[0], e.IP[1], e.IP[2], e.IP[3], byte(e.Port >> 8), byte(e.Port)}
}

func endFrom(b []byte) (state.Endpoint, error) {
	if len(b) != endSize {
		return state.Endpoint{}, errs.New(errs.BadInput, "address of %d bytes instead of %d", len(b), endSize)
	}
	return state.Endpoint{IP: [4]byte(b[:4]), Port: uint16(b[4])<<8 | uint16(b[5])}, nil
}

func addressFrom(b []byte) (netip.AddrPort, error) {
	e, err := endFrom(b)
	return e.AddrPort(), err
}

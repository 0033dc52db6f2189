// Package hops encodes and decodes the datagrams between balancers and agents: messages about flows (package
// relay) and about the membership (package gossip). The first byte of a datagram is its Type.
//
// The rest of a datagram is in the protobuf wire format. It is encoded and decoded by hand with the
// protowire library, which needs no message descriptors: they would increase the memory use of every
// process. Unknown fields are skipped.
package hops

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Type is the first byte of a datagram, which identifies the kind of message that follows.
type Type byte

// The types of datagram.
const (
	// TypeRelay is the type of a datagram with a relay.Message.
	TypeRelay Type = 1
	// TypeGossip is the type of a datagram with a gossip.Message.
	TypeGossip Type = 2
)

// maxDatagramBytes is an upper bound of the size of a UDP datagram.
const maxDatagramBytes = 1 << 16

// TypeOf returns the type of a datagram, or false if the datagram is empty, too long or of an unknown type.
func TypeOf(b []byte) (Type, bool) {
	if len(b) == 0 || len(b) > maxDatagramBytes {
		return 0, false
	}
	return Type(b[0]), b[0] == byte(TypeRelay) || b[0] == byte(TypeGossip)
}

// field is one decoded field. Its content is in value or bytes, depending on its wire type; both are zero
// for other wire types.
type field struct {
	number protowire.Number
	// value is the content of a varint field.
	value uint64
	// bytes is the content of a length-delimited field.
	bytes []byte
}

// forEachField calls handle for each field of b in order, until an error occurs.
func forEachField(b []byte, handle func(field) error) error {
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errs.New(errs.BadInput, "field tag is malformed")
		}
		b = b[n:]
		f := field{number: number}
		switch wireType {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, wireType, b)
		}
		if n < 0 {
			return errs.New(errs.BadInput, "field %d is malformed", number)
		}
		b = b[n:]
		if err := handle(f); err != nil {
			return err
		}
	}
	return nil
}

// appendVarint appends a varint field to b unless its value is zero.
func appendVarint(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

// appendBytes appends a length-delimited field to b unless it is empty.
func appendBytes(b []byte, number protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendBytes(b, value)
}

// appendString appends a length-delimited field to b unless it is empty.
func appendString(b []byte, number protowire.Number, value string) []byte {
	if value == "" {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendString(b, value)
}

// appendAddress appends an IPv4 address as a field to b. Invalid and IPv6 addresses are left out.
func appendAddress(b []byte, number protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() || !a.Addr().Unmap().Is4() {
		return b
	}
	return appendBytes(b, number, encodeEndpoint(state.EndpointOf(a)))
}

// endpointSize is the encoded size of an endpoint in bytes: the IPv4 address and the port.
const endpointSize = 6

func encodeEndpoint(e state.Endpoint) []byte {
	return []byte{e.IP[0], e.IP[1], e.IP[2], e.IP[3], byte(e.Port >> 8), byte(e.Port)}
}

func decodeEndpoint(b []byte) (state.Endpoint, error) {
	if len(b) != endpointSize {
		return state.Endpoint{}, errs.New(errs.BadInput, "address has %d bytes instead of %d", len(b), endpointSize)
	}
	return state.Endpoint{IP: [4]byte(b[:4]), Port: uint16(b[4])<<8 | uint16(b[5])}, nil
}

func decodeAddress(b []byte) (netip.AddrPort, error) {
	e, err := decodeEndpoint(b)
	return e.AddrPort(), err
}

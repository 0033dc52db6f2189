// Package frame is the encapsulation of callers' packets between balancers and agents over UDP.
//
//	version (1) | generation (1) | kind (1) | flags (1) | service (4) | caller IP (16) | caller port (2)
//	| packet length (2) | MAC (8) | packet
//
// The MAC covers the header and the first bytes of the packet, so that only members of the fleet can
// inject packets. The rest is protected by QUIC itself.
package frame

import (
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// Overhead is how many bytes a frame adds to a packet.
const Overhead = 36

const (
	version     = 1
	macOffset   = 28
	macSize     = 8
	coveredHead = 28
	coveredBody = 68
	coveredSize = coveredHead + coveredBody
	block       = 16
)

// Kind is what a frame carries.
type Kind uint8

// The kinds.
const (
	// KindToAgent is a caller's packet on its way to an agent.
	KindToAgent Kind = iota + 1
	// KindToCaller is an agent's packet on its way to a caller.
	KindToCaller
	// KindForwarded is a caller's packet that one agent handed to another; it is not handed on again.
	KindForwarded
)

// Frame is a decoded frame.
type Frame struct {
	Kind    Kind
	Service state.ServiceID
	Caller  netip.AddrPort
	// Packet points into the buffer that was decoded.
	Packet []byte
}

// Codec encodes and decodes without allocation. One Codec serves one goroutine.
type Codec struct {
	covered [coveredSize]byte
	mac     [block]byte
}

// Encode writes f into buf, which must have room for Overhead more bytes than the packet, and
// returns the frame. The packet may already lie at buf[Overhead:].
func (c *Codec) Encode(buf []byte, set *keys.Set, f Frame) []byte {
	g := set.Newest()
	buf = buf[:Overhead+len(f.Packet)]
	copy(buf[Overhead:], f.Packet)
	buf[0] = version
	buf[1] = byte(g.Number)
	buf[2] = byte(f.Kind)
	buf[3] = 0
	binary.BigEndian.PutUint32(buf[4:8], uint32(f.Service))
	ip := f.Caller.Addr().As16()
	copy(buf[8:24], ip[:])
	binary.BigEndian.PutUint16(buf[24:26], f.Caller.Port())
	binary.BigEndian.PutUint16(buf[26:28], uint16(len(f.Packet)))
	c.sum(g, buf)
	copy(buf[macOffset:macOffset+macSize], c.mac[:macSize])
	return buf
}

// Decode checks buf and returns the frame in it, and false if it is malformed or forged.
func (c *Codec) Decode(buf []byte, set *keys.Set) (Frame, bool) {
	if len(buf) < Overhead || buf[0] != version {
		return Frame{}, false
	}
	g := set.At(state.Generation(buf[1]))
	if g == nil {
		return Frame{}, false
	}
	if int(binary.BigEndian.Uint16(buf[26:28])) != len(buf)-Overhead {
		return Frame{}, false
	}
	c.sum(g, buf)
	if subtle.ConstantTimeCompare(c.mac[:macSize], buf[macOffset:macOffset+macSize]) != 1 {
		return Frame{}, false
	}
	kind := Kind(buf[2])
	if kind < KindToAgent || kind > KindForwarded {
		return Frame{}, false
	}
	caller := netip.AddrFrom16([16]byte(buf[8:24])).Unmap()
	return Frame{
		Kind:    kind,
		Service: state.ServiceID(binary.BigEndian.Uint32(buf[4:8])),
		Caller:  netip.AddrPortFrom(caller, binary.BigEndian.Uint16(buf[24:26])),
		Packet:  buf[Overhead:],
	}, true
}

// sum leaves the CBC-MAC of the covered bytes in c.mac. The input always has the same length, for
// which CBC-MAC is secure (Bellare, Kilian and Rogaway, 2000); the packet's length is in the header.
func (c *Codec) sum(g *keys.Generation, buf []byte) {
	clear(c.covered[:])
	copy(c.covered[:coveredHead], buf[:coveredHead])
	copy(c.covered[coveredHead:], buf[Overhead:])
	clear(c.mac[:])
	for at := 0; at < coveredSize; at += block {
		subtle.XORBytes(c.mac[:], c.mac[:], c.covered[at:at+block])
		g.Frame.Encrypt(c.mac[:], c.mac[:])
	}
}

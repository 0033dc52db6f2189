// Package frame encodes and decodes the frames in which balancers and agents send each other callers'
// QUIC packets over UDP. A frame is a header followed by the packet (field sizes in bytes):
//
//	version (1) | generation (1) | kind (1) | flags (1) | service (4) | caller IP (16) | caller port (2)
//	| packet length (2) | MAC (8) | packet
//
// The MAC covers the other header fields and the first 68 bytes of the packet, so that only processes
// that have the fleet key can inject packets. QUIC itself protects the rest of the packet.
package frame

import (
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// Overhead is the number of bytes that a frame adds to a packet.
const Overhead = 36

const (
	version   = 1
	macOffset = 28
	macSize   = 8
	// coveredHeaderBytes is the length of the header before the MAC, coveredPacketBytes the length of the part of
	// the packet that the MAC covers.
	coveredHeaderBytes = 28
	coveredPacketBytes = 68
	// coveredBytes is the length of the MAC's input, a multiple of blockSize.
	coveredBytes = coveredHeaderBytes + coveredPacketBytes
	// blockSize is the size of an AES block in bytes.
	blockSize = 16
)

// Kind is the direction of a frame's packet.
type Kind uint8

// The kinds of frame.
const (
	// KindToAgent is a caller's packet on its way to an agent.
	KindToAgent Kind = iota + 1
	// KindToCaller is an agent's packet on its way to a caller.
	KindToCaller
	// KindForwarded is a caller's packet that one agent forwarded to another, which does not forward it
	// again.
	KindForwarded
)

// Frame is a decoded frame.
type Frame struct {
	Kind    Kind
	Service state.ServiceID
	// Caller is the address that the packet came from or is sent to.
	Caller netip.AddrPort
	// Packet is the QUIC packet. After Decode it points into the buffer that was decoded.
	Packet []byte
}

// Codec encodes and decodes frames without allocating memory. It reuses its buffers, so it must not be
// used by several goroutines at once.
type Codec struct {
	macInput [coveredBytes]byte
	mac      [blockSize]byte
}

// Encode writes f into buf and returns the part of buf that holds the frame. The capacity of buf must be
// at least Overhead plus the length of the packet. The packet may already be at buf[Overhead:].
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
	c.computeMAC(g, buf)
	copy(buf[macOffset:macOffset+macSize], c.mac[:macSize])
	return buf
}

// Decode checks buf and returns the frame in it, or false if it is malformed or forged.
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
	c.computeMAC(g, buf)
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

// computeMAC writes the CBC-MAC of the covered bytes of buf to c.mac. A packet shorter than
// coveredPacketBytes is padded with zeros: CBC-MAC is secure only for inputs of one fixed length (Bellare,
// Kilian and Rogaway, 2000). The header has the packet's length, so the padding is unambiguous.
func (c *Codec) computeMAC(g *keys.Generation, buf []byte) {
	clear(c.macInput[:])
	copy(c.macInput[:coveredHeaderBytes], buf[:coveredHeaderBytes])
	copy(c.macInput[coveredHeaderBytes:], buf[Overhead:])
	clear(c.mac[:])
	for at := 0; at < coveredBytes; at += blockSize {
		subtle.XORBytes(c.mac[:], c.mac[:], c.macInput[at:at+blockSize])
		g.Frame.Encrypt(c.mac[:], c.mac[:])
	}
}

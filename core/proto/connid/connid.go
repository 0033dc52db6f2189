// Package connid creates and reads QUIC connection IDs that contain the route of their flow.
//
// An ID has 17 bytes: the key generation in plain text, then one encrypted AES block with these fields
// (sizes in bytes):
//
//	agent's IPv4 address (4) | agent's port (2) | service (4) | serial (4) | check value (2)
//
// A balancer finds the route of a packet in its ID alone. It needs no table of flows, so a balancer that
// has just started routes the packets of every open flow correctly. A random or forged ID passes the test
// of the check value and of the service with a probability of 2^-48 for any one service.
package connid

import (
	"encoding/binary"
	"net/netip"

	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// Size is the length of an ID in bytes.
const Size = 17

const (
	// blockSize is the size of an AES block in bytes.
	blockSize = 16
	// checkValue is "ms" in ASCII.
	checkValue = 0x6d73
)

// Route is the content of an ID.
type Route struct {
	// Agent is the address at which the agent that holds the flow receives frames (package frame). It must
	// be IPv4.
	Agent   netip.AddrPort
	Service state.ServiceID
	// Serial distinguishes the IDs of one agent.
	Serial Serial
}

// Serial numbers the IDs of one agent. Its upper 12 bits are a random tag of the process, its lower 20
// bits a counter. The tag lets a process recognise IDs that an earlier process at the same address made.
type Serial uint32

// counterBits is the width of a Serial's counter.
const counterBits = 20

// FirstSerial returns the first serial of a process; seed is a random number, whose upper bits are the tag.
func FirstSerial(seed uint32) Serial { return Serial(seed) &^ (1<<counterBits - 1) }

// Next returns the serial after s. The counter wraps around after 2^20 serials, about a million.
func (s Serial) Next() Serial { return s&^(1<<counterBits-1) | (s+1)&(1<<counterBits-1) }

// SameProcess reports whether two serials have the same process tag.
func (s Serial) SameProcess(other Serial) bool { return s>>counterBits == other>>counterBits }

// Append appends an ID for r to dst, encrypted with the newest key generation of set.
func Append(dst []byte, set *keys.Set, r Route) []byte {
	var block [blockSize]byte
	ip := r.Agent.Addr().Unmap().As4()
	copy(block[0:4], ip[:])
	binary.BigEndian.PutUint16(block[4:6], r.Agent.Port())
	binary.BigEndian.PutUint32(block[6:10], uint32(r.Service))
	binary.BigEndian.PutUint32(block[10:14], uint32(r.Serial))
	binary.BigEndian.PutUint16(block[14:16], checkValue)
	g := set.Newest()
	g.ConnID.Encrypt(block[:], block[:])
	dst = append(dst, byte(g.Number))
	return append(dst, block[:]...)
}

// Reader decrypts IDs without allocating memory. It reuses its buffer, so it must not be used by several
// goroutines at once.
type Reader struct {
	block [blockSize]byte
}

// Read returns the route in id, or false if id was not made with a key of set. Bytes of id after the first
// Size are ignored.
func (rd *Reader) Read(set *keys.Set, id []byte) (Route, bool) {
	if len(id) < Size {
		return Route{}, false
	}
	g := set.At(state.Generation(id[0]))
	if g == nil {
		return Route{}, false
	}
	g.ConnID.Decrypt(rd.block[:], id[1:Size])
	if binary.BigEndian.Uint16(rd.block[14:16]) != checkValue {
		return Route{}, false
	}
	ip := netip.AddrFrom4([4]byte(rd.block[0:4]))
	return Route{
		Agent:   netip.AddrPortFrom(ip, binary.BigEndian.Uint16(rd.block[4:6])),
		Service: state.ServiceID(binary.BigEndian.Uint32(rd.block[6:10])),
		Serial:  Serial(binary.BigEndian.Uint32(rd.block[10:14])),
	}, true
}

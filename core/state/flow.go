package state

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"
)

// Endpoint is one end of a flow: an IPv4 number and a port. It holds no pointers, so that tables of many
// flows cost the garbage collector nothing.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns the end at an IPv4 address.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{IP: a.Addr().Unmap().As4(), Port: a.Port()}
}

// AddrPort returns the end as an address.
func (e Endpoint) AddrPort() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port) }

// String returns the end as "IP:port".
func (e Endpoint) String() string { return e.AddrPort().String() }

// FlowID names a flow by its two ends.
type FlowID struct {
	Client Endpoint
	// Virtual is the address of the service that the client speaks to.
	Virtual Endpoint
}

// String returns the flow's name in logs: "client>virtual".
func (f FlowID) String() string { return f.Client.String() + ">" + f.Virtual.String() }

// Hash returns a 64-bit hash that every node computes alike.
func (f FlowID) Hash() uint64 {
	a := uint64(binary.BigEndian.Uint32(f.Client.IP[:]))<<32 | uint64(binary.BigEndian.Uint32(f.Virtual.IP[:]))
	b := uint64(f.Client.Port)<<16 | uint64(f.Virtual.Port)
	return Mix(Mix(a) ^ b*hashMultiplier)
}

// Segment is what the system may know of one packet of a flow; the packet itself stays opaque.
type Segment struct {
	Flow FlowID
	// Opens is true for the packet that opens a flow and for its copies.
	Opens bool
	// Resets is true for a packet that ends a flow at once.
	Resets bool
	// Finishes is true for the last packet of one direction.
	Finishes bool
	// Acknowledges is true if Acknowledged holds.
	Acknowledges bool
	// Returned is true for a packet that a target gave back because it does not hold the flow, or can't take it.
	Returned bool
	// Sequence is the sender's sequence number.
	Sequence uint32
	// Acknowledged is the next sequence number that the sender expects; on an opening packet, the number of the copy.
	Acknowledged uint32
	// DataLen is the length of the payload in bytes.
	DataLen int
	// ConnectAge is for how long at least the client has tried to open the flow, on an opening packet: copies of it are sent at
	// fixed times.
	ConnectAge time.Duration
	// Packet is the whole packet as it arrived. It is valid only during the call that passes it.
	Packet []byte
}

// ConfigVersion orders configurations: the higher one is newer. Zero means none.
type ConfigVersion uint64

// WeightedService is one service behind a route.
type WeightedService struct {
	Service ServiceName
	// Weight is the service's share of new flows, relative to the other backends; above zero.
	Weight int
}

// Route tells where new flows to a virtual address go.
type Route struct {
	Name     string
	Virtual  Endpoint
	Services []WeightedService
	// Priority orders routes when there is too little room for all; 0 is the highest.
	Priority int
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// LatencyObjective is the latency within which an answer is worth most.
	LatencyObjective time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version ConfigVersion
	// Routes has at most one route for each virtual address.
	Routes map[Endpoint]Route
}

// SelectService returns the service of a route that a new flow goes to. The same flow gets the same answer on every
// node, so that the copies of its opening packet agree.
func (r Route) SelectService(f FlowID) ServiceName {
	total := 0
	for _, b := range r.Services {
		total += b.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(f.Hash() % uint64(total))
	for _, b := range r.Services {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return ""
}

// String returns the version as a number.
func (v ConfigVersion) String() string { return strconv.FormatUint(uint64(v), 10) }

package state

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// Endpoint is one end of a flow: an IPv4 address and a port. It holds no pointers, so that the garbage
// collector need not scan large tables of flows.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns the endpoint for an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{IP: a.Addr().Unmap().As4(), Port: a.Port()}
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port) }

// String returns the endpoint as "IP:port".
func (e Endpoint) String() string { return e.AddrPort().String() }

// FlowID identifies a flow by its two endpoints.
type FlowID struct {
	Client Endpoint
	// Virtual is the virtual address of the service to which the client connects.
	Virtual Endpoint
}

// String returns the flow's ID as it is logged: "client>virtual".
func (f FlowID) String() string { return f.Client.String() + ">" + f.Virtual.String() }

// Hash returns a 64-bit hash that is the same on every node.
func (f FlowID) Hash() uint64 {
	a := uint64(binary.BigEndian.Uint32(f.Client.IP[:]))<<32 | uint64(binary.BigEndian.Uint32(f.Virtual.IP[:]))
	b := uint64(f.Client.Port)<<16 | uint64(f.Virtual.Port)
	return Mix(Mix(a) ^ b*hashMultiplier)
}

// Segment is the metadata of one packet of a flow. The system interprets nothing else of the packet.
type Segment struct {
	Flow FlowID
	// Opens is true for the packet that opens a flow and for its copies (retransmissions).
	Opens bool
	// Resets is true for a packet that aborts a flow.
	Resets bool
	// Finishes is true for the last packet in one direction.
	Finishes bool
	// Acknowledges is true if Acknowledged is an acknowledgement number.
	Acknowledges bool
	// Returned is true for a packet that a target sent back because it does not have the flow open or can't accept it.
	Returned bool
	// Sequence is the sender's sequence number.
	Sequence uint32
	// Acknowledged is the next sequence number that the sender expects; on an opening packet, the number of the copy,
	// 0 for the original.
	Acknowledged uint32
	// DataLen is the length of the payload in bytes.
	DataLen int
	// ConnectAge is, on an opening packet, the least time for which the client has been trying to open the flow. It
	// follows from the number of the copy, since copies are sent at fixed times.
	ConnectAge time.Duration
	// Packet is the whole packet as received. It is valid only until the call to which it is passed returns.
	Packet []byte
}

// ConfigVersion orders configurations: the higher one is newer. Zero means none.
type ConfigVersion uint64

// WeightedService is one of the services of a route.
type WeightedService struct {
	Service ServiceName
	// Weight is the service's share of new flows, relative to the route's other services; above zero.
	Weight int
}

// Route determines to which services new flows to a virtual address are sent.
type Route struct {
	Name     string
	Virtual  Endpoint
	Services []WeightedService
	// Priority orders routes when capacity does not suffice for all; 0 is the highest.
	Priority int
	// Idempotent is true if a request may safely run more than once.
	Idempotent bool
	// LatencyObjective is the latency up to which a reply has its full value.
	LatencyObjective time.Duration
	// Timeout is how long a client waits for a reply; zero if it is not known.
	Timeout time.Duration
	// Regions are the only regions to which new flows may be sent; empty if all are allowed.
	Regions []Region
}

// Allows reports whether new flows of the route may be sent to targets in a region.
func (r Route) Allows(region Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// ServiceLimits are the limits that a configuration sets for the targets of a service.
type ServiceLimits struct {
	// WarmupRate is how many new flows a second a target may be sent during its warm-up; zero if there is no limit.
	WarmupRate float64
}

// Config is one version of the operator's configuration.
type Config struct {
	Version ConfigVersion
	// Follows is the version that this one replaced, without another in between; zero if that is unknown.
	Follows ConfigVersion
	// Routes has at most one route for each virtual address.
	Routes map[Endpoint]Route
	// Services has the limits of the services that have any.
	Services map[ServiceName]ServiceLimits
}

// SelectService returns the service of the route to which a new flow is sent, or "" if the route has none. It returns
// the same service for a flow on every node, so that all copies of the opening packet are sent to the same service.
func (r Route) SelectService(f FlowID) ServiceName {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(f.Hash() % uint64(total))
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// String returns the version as a number.
func (v ConfigVersion) String() string { return strconv.FormatUint(uint64(v), 10) }

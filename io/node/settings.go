// Package node runs the processes that carry opaque flows: the balancer and the agent. Decisions are in
// core/coord/steer and core/coord/gate; this package has the sockets, the clock and the goroutines around them.
//
// One goroutine, the event loop, owns all state of a process. The goroutines that read sockets pass datagrams to it through bounded
// queues, and others pass it short function calls; nothing else accesses the state.
//
// The formats of clients, targets, the operator and the store are behind function fields (Codec, ConfigSource, Directory), so that
// the package depends on none of them. Start reading at node.go.
package node

import (
	"net/netip"
	"time"

	"monsoonstep/core/coord/warmup"
	"monsoonstep/core/state"
)

// Codec decodes and builds the packets of clients and targets.
type Codec struct {
	// Decode decodes the header of a packet from a client. The segment shares memory with the packet.
	Decode func(packet []byte) (state.Segment, error)
	// DecodeOutbound decodes the header of a packet that a target sent or returned.
	DecodeOutbound func(packet []byte) (state.Segment, error)
	// Reset builds a packet that resets a flow at its client. The sequence number is one that the client accepts.
	Reset func(flow state.FlowID, sequence uint32) []byte
	// Restore removes the marks of its return from a packet that a target returned, so that it can be sent to another target.
	Restore func(packet []byte)
}

// Settings are the settings that balancers and agents share.
type Settings struct {
	Instance   state.InstanceName
	DataCentre state.DataCentre
	Region     state.Region
	// Internal is the address at which other nodes reach this one, over UDP and TCP.
	Internal netip.AddrPort
	// Listen is the address on which this node listens for other nodes. It differs from Internal where addresses are translated on the
	// way.
	Listen netip.AddrPort
	// Seeds are the internal addresses of a few nodes through which this one joins the fleet. Some of them may be down.
	Seeds []netip.AddrPort
	// FlowTTL is how long a flow is kept after it opened.
	FlowTTL time.Duration
	// Grace is how long a graceful stop may take.
	Grace time.Duration
	// Evacuation is true if the operator's orders to evacuate data centres are followed.
	Evacuation bool
}

// BalancerSettings are the settings of a balancer.
type BalancerSettings struct {
	Settings
	// Clients is the UDP address on which packets of clients arrive.
	Clients netip.AddrPort
}

// AgentSettings are the settings of an agent.
type AgentSettings struct {
	Settings
	Service state.ServiceName
	// Target is the target's address: it receives packets there over UDP, and is checked there over TCP.
	Target netip.AddrPort
	// Outbound is the UDP address to which the target sends its packets.
	Outbound netip.AddrPort
	// ClientPort is the UDP port on which every client receives packets.
	ClientPort uint16
	// HeartbeatPeriod is the time between two heartbeats of the target.
	HeartbeatPeriod time.Duration
	// Warmup determines the limit for the target's new flows during its warm-up.
	Warmup warmup.Settings
}

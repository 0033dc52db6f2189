// Package node runs the processes that carry opaque flows: the balancer and the agent. Decisions are in
// core/coord/steer and core/coord/gate; here are the sockets, the clock and the duties around them.
//
// One duty owns all state of a process. The duties that read sockets hand it datagrams by a bounded ring, and
// others hand it short calls; nothing else touches the state.
//
// What clients, targets and operators speak is met by function fields (Codec, ConfigSource), so that the package knows
// no one's formats. Start reading at node.go.
package node

import (
	"context"
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// Codec maps the packets of clients and targets.
type Codec struct {
	// Decode reads the header of a client's packet. The segment shares memory with the packet.
	Decode func(packet []byte) (state.Segment, error)
	// DecodeOutbound reads the header of a packet that a target sent or gave back.
	DecodeOutbound func(packet []byte) (state.Segment, error)
	// Reset makes a reset that a client takes.
	Reset func(flow state.FlowID, sequence uint32) []byte
	// Restore takes the marks out of a packet that a target gave back, so that another one can get it.
	Restore func(packet []byte)
}

// ConfigSource is where the operator's configuration is kept.
type ConfigSource struct {
	// Read returns the newest configuration as it is stored, and the store's revision. It is nil if there is none.
	Read func(ctx context.Context) ([]byte, state.Revision, error)
	// Wait returns the configuration once it changes after a revision, or nil if it did not within a time. An error
	// of kind NotFound means that the revision is too old to wait from.
	Wait func(ctx context.Context, after state.Revision, wait time.Duration) ([]byte, state.Revision, error)
	// Decode reads a stored configuration.
	Decode func(stored []byte) (state.Config, error)
}

// Settings are what balancers and agents have in common.
type Settings struct {
	Instance   state.InstanceName
	DataCentre state.DataCentre
	Region     state.Region
	// Internal is where other nodes reach this one, over UDP and TCP.
	Internal netip.AddrPort
	// Listen is where it listens for them: Internal, unless addresses are translated on the way.
	Listen netip.AddrPort
	// Seeds are the internal addresses of a few nodes, some of which may be gone.
	Seeds []netip.AddrPort
	// FlowTTL is how long a flow may be open.
	FlowTTL time.Duration
	// Grace is how long the process may go on after it was asked to stop.
	Grace time.Duration
}

// BalancerSettings are the settings of a balancer.
type BalancerSettings struct {
	Settings
	// Clients is where the packets of clients arrive, over UDP.
	Clients netip.AddrPort
}

// AgentSettings are the settings of an agent.
type AgentSettings struct {
	Settings
	Service state.ServiceName
	// Target is where the target takes packets, over UDP.
	Target netip.AddrPort
	// Outbound is where the target sends its packets, over UDP.
	Outbound netip.AddrPort
	// ClientPort is the port at which every client takes packets.
	ClientPort uint16
	// HeartbeatPeriod is how often the target says that it lives.
	HeartbeatPeriod time.Duration
}

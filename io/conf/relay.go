package conf

import (
	"net/netip"
	"time"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Relay is the settings of a process that carries opaque flows, balancer or agent.
type Relay struct {
	Instance   state.InstanceName
	DataCentre state.DataCentre
	Region     state.Region
	// Internal is where other nodes reach this one, over UDP and TCP.
	Internal netip.AddrPort
	// Packets is where a balancer takes the packets of clients; clients take theirs at the same port.
	Packets netip.AddrPort
	// Admin is where metrics and the state are served.
	Admin netip.AddrPort
	// Ready is where the readiness page is served.
	Ready netip.AddrPort
	// Control is where targets send their heartbeats.
	Control netip.AddrPort
	// Seeds are addresses of a few nodes; their ports are those of Control.
	Seeds []netip.AddrPort
	// Store is where the store is.
	Store netip.AddrPort
	// HeartbeatPeriod is how often targets say that they live.
	HeartbeatPeriod time.Duration
	// FlowAge is how long a flow may be open.
	FlowAge time.Duration
	// Grace is how long a process may go on after it was asked to stop.
	Grace    time.Duration
	LogLevel string
}

// RelayAgent is the settings of an agent for opaque flows.
type RelayAgent struct {
	Relay
	Service state.ServiceName
	// Target is where the target takes packets, and its health checks over TCP.
	Target netip.AddrPort
	// Outbound is where the target sends its packets.
	Outbound netip.AddrPort
}

// LoadRelayBalancer reads the settings of a balancer for opaque flows.
func LoadRelayBalancer(file string) (Relay, error) {
	var s Relay
	err := load(file, func(r *reader) { s = r.relay() })
	return s, err
}

// LoadRelayAgent reads the settings of an agent for opaque flows.
func LoadRelayAgent(file string) (RelayAgent, error) {
	var s RelayAgent
	err := load(file, func(r *reader) {
		s.Relay = r.relay()
		s.Service = state.ServiceName(r.text("service", true, serviceNames, placeForm))
		s.Target = r.address("targetAddress", true)
		s.Outbound = r.address("outboundAddress", true)
	})
	return s, err
}

// CheckRelay reads a file as the settings of a role that carries opaque flows and returns what is wrong with it.
func CheckRelay(role, file string) error {
	var err error
	switch role {
	case "balancer":
		_, err = LoadRelayBalancer(file)
	case "agent":
		_, err = LoadRelayAgent(file)
	default:
		err = errs.New(errs.BadInput, "role %q is not one of balancer, agent", role)
	}
	return err
}

func (r *reader) relay() Relay {
	s := Relay{
		Instance:        state.InstanceName(r.text("instance", true, instanceNames, instanceForm)),
		DataCentre:      state.DataCentre(r.text("dataCentre", true, placeNames, placeForm)),
		Region:          state.Region(r.text("region", true, placeNames, placeForm)),
		Internal:        r.address("internalAddress", true),
		Packets:         r.address("packetAddress", true),
		Admin:           r.address("adminAddress", true),
		Ready:           r.address("readyAddress", true),
		Control:         r.address("controlAddress", true),
		Seeds:           r.addresses("seeds", false),
		Store:           r.address("storeAddress", true),
		HeartbeatPeriod: r.millis("heartbeatMillis", time.Second, 50*time.Millisecond, time.Minute),
		FlowAge:         r.seconds("flowAgeSeconds", time.Minute, time.Second, 24*time.Hour),
		Grace:           r.seconds("graceSeconds", 5*time.Second, 0, 10*time.Minute),
		LogLevel:        "info",
	}
	if level := r.text("logLevel", false, levels, "debug, info, warn or error"); level != "" {
		s.LogLevel = level
	}
	return s
}

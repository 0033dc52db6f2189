package conf

import (
	"encoding/json"
	"fmt"
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
	// Listen is where it listens for them; it is Internal unless addresses are translated on the way.
	Listen netip.AddrPort
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
	// FlowTTL is how long a flow may be open.
	FlowTTL time.Duration
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
	err := load(file, func(r *reader) {
		s = r.relay()
		r.distinct(r.listenKey(), "adminAddress", "readyAddress")
		r.distinct(r.listenKey(), "packetAddress")
	})
	return s, err
}

// LoadRelayAgent reads the settings of an agent for opaque flows.
func LoadRelayAgent(file string) (RelayAgent, error) {
	var s RelayAgent
	err := load(file, func(r *reader) {
		s.Relay = r.relay()
		s.Service = state.ServiceName(r.text("service", true, serviceNames, placeForm))
		s.Target = r.ipv4("targetAddress")
		s.Outbound = r.ipv4("outboundAddress")
		r.distinct(r.listenKey(), "adminAddress", "readyAddress", "controlAddress", "targetAddress")
		r.distinct(r.listenKey(), "outboundAddress", "targetAddress")
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
		Internal:        r.ipv4("internalAddress"),
		Packets:         r.ipv4("packetAddress"),
		Admin:           r.ipv4("adminAddress"),
		Ready:           r.ipv4("readyAddress"),
		Control:         r.ipv4("controlAddress"),
		Seeds:           r.addresses("seeds", false),
		Store:           r.ipv4("storeAddress"),
		HeartbeatPeriod: r.millis("heartbeatMillis", time.Second, 50*time.Millisecond, time.Minute),
		FlowTTL:         r.seconds("flowAgeSeconds", time.Minute, time.Second, 24*time.Hour),
		Grace:           r.seconds("graceSeconds", 5*time.Second, 0, 10*time.Minute),
		LogLevel:        "info",
	}
	s.Listen = s.Internal
	if r.has("listenAddress") {
		s.Listen = r.ipv4("listenAddress")
	}
	if level := r.text("logLevel", false, levels, "debug, info, warn or error"); level != "" {
		s.LogLevel = level
	}
	return s
}

// ipv4 reads an address that packets carry, or that shares a machine with one that they do.
func (r *reader) ipv4(key string) netip.AddrPort {
	a := r.address(key, true)
	if a.IsValid() && !a.Addr().Is4() {
		r.report(key, a.String(), "an IPv4 number and a port: packets carry addresses of four bytes")
	}
	return a
}

// listenKey returns the key of the address at which other nodes are listened for.
func (r *reader) listenKey() string {
	if r.has("listenAddress") {
		return "listenAddress"
	}
	return "internalAddress"
}

// distinct checks that no two keys that are listened on by the same protocol hold the same address.
func (r *reader) distinct(keys ...string) {
	seen := make(map[string]string)
	for _, key := range keys {
		var text string
		if json.Unmarshal(r.fields[key], &text) != nil {
			// The key is missing or no text, which its own check reports.
			continue
		}
		if other, taken := seen[text]; taken {
			r.report(key, fmt.Sprintf("%q", text), "another address than "+other)
			continue
		}
		seen[text] = key
	}
}

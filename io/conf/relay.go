package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"monsoonstep/core/coord/warmup"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// The ranges of the settings for targets in their warm-up.
const (
	minWarmupOverage = 0.01
	maxWarmupOverage = 100
	maxWarmupSlack   = 1000
)

// Relay holds the settings of a balancer for opaque flows, and those that agents for opaque flows have in common with it.
type Relay struct {
	Instance   state.InstanceName
	DataCentre state.DataCentre
	Region     state.Region
	// Internal is the address at which other nodes reach this one, over UDP and TCP.
	Internal netip.AddrPort
	// Listen is the address on which it listens for other nodes; it is Internal unless addresses are translated on the
	// way.
	Listen netip.AddrPort
	// Packets is the address at which a balancer receives the packets of clients. Clients receive theirs at the same
	// port.
	Packets netip.AddrPort
	// Admin is the address that serves the metrics and the state.
	Admin netip.AddrPort
	// Ready is the address that serves the readiness page.
	Ready netip.AddrPort
	// Control is the address to which targets send their heartbeats.
	Control netip.AddrPort
	// Seeds are the Control addresses of a few nodes.
	Seeds []netip.AddrPort
	// Store is the address of the platform's key-value store.
	Store netip.AddrPort
	// HeartbeatPeriod is the interval between the heartbeats of a target.
	HeartbeatPeriod time.Duration
	// FlowTTL is how long a flow is kept after it opened.
	FlowTTL time.Duration
	// Grace is how long a graceful stop may take.
	Grace time.Duration
	// Evacuation is true if the operator's orders to evacuate data centres are followed.
	Evacuation bool
	// Warmup determines the limit for a target's new flows during its warm-up. Only agents apply it; a balancer ignores it, since both
	// roles are given the same settings.
	Warmup   warmup.Settings
	LogLevel string
}

// RelayAgent holds the settings of an agent for opaque flows.
type RelayAgent struct {
	Relay
	Service state.ServiceName
	// Target is the address at which the target receives packets, and accepts health checks over TCP.
	Target netip.AddrPort
	// Outbound is the address to which the target sends its packets.
	Outbound netip.AddrPort
}

// LoadRelayBalancer reads the settings of a balancer for opaque flows.
func LoadRelayBalancer(file string) (Relay, error) {
	var s Relay
	err := loadFile(file, func(r *reader) {
		s = r.relay()
		r.requireDistinct(r.listenAddressKey(), "adminAddress", "readyAddress")
		r.requireDistinct(r.listenAddressKey(), "packetAddress")
	})
	return s, err
}

// LoadRelayAgent reads the settings of an agent for opaque flows.
func LoadRelayAgent(file string) (RelayAgent, error) {
	var s RelayAgent
	err := loadFile(file, func(r *reader) {
		s.Relay = r.relay()
		s.Service = state.ServiceName(r.text("service", true, serviceNamePattern, lowerCaseNameForm))
		s.Target = r.ipv4Address("targetAddress")
		s.Outbound = r.ipv4Address("outboundAddress")
		r.requireDistinct(r.listenAddressKey(), "adminAddress", "readyAddress", "controlAddress", "targetAddress")
		r.requireDistinct(r.listenAddressKey(), "outboundAddress", "targetAddress")
	})
	return s, err
}

// CheckRelay validates a file as the settings of a role that carries opaque flows and returns all its problems as one error.
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
		Instance:        state.InstanceName(r.text("instance", true, instanceNamePattern, instanceNameForm)),
		DataCentre:      state.DataCentre(r.text("dataCentre", true, locationNamePattern, lowerCaseNameForm)),
		Region:          state.Region(r.text("region", true, locationNamePattern, lowerCaseNameForm)),
		Internal:        r.ipv4Address("internalAddress"),
		Packets:         r.ipv4Address("packetAddress"),
		Admin:           r.ipv4Address("adminAddress"),
		Ready:           r.ipv4Address("readyAddress"),
		Control:         r.ipv4Address("controlAddress"),
		Seeds:           r.addresses("seeds", false),
		Store:           r.ipv4Address("storeAddress"),
		HeartbeatPeriod: r.millis("heartbeatMillis", time.Second, 50*time.Millisecond, time.Minute),
		FlowTTL:         r.seconds("flowAgeSeconds", time.Minute, time.Second, 24*time.Hour),
		Grace:           r.seconds("graceSeconds", 5*time.Second, 0, 10*time.Minute),
		Evacuation:      r.boolean("evacuation"),
		Warmup:          r.warmup(),
		LogLevel:        "info",
	}
	s.Listen = s.Internal
	if r.has("listenAddress") {
		s.Listen = r.ipv4Address("listenAddress")
	}
	if level := r.text("logLevel", false, logLevelPattern, "debug, info, warn or error"); level != "" {
		s.LogLevel = level
	}
	return s
}

// warmup reads the limit for targets in their warm-up. Without either key no limit is applied.
func (r *reader) warmup() warmup.Settings {
	const missing = -1
	overage := r.decimal("warmupOverage", missing, minWarmupOverage, maxWarmupOverage)
	slack := r.decimal("warmupSlack", missing, 0, maxWarmupSlack)
	switch {
	case overage == missing && slack == missing:
		return warmup.Settings{}
	case overage == missing:
		overage = 1
	}
	return warmup.Settings{Overage: overage, Slack: max(0, slack)}
}

// ipv4Address reads an address that packets contain, or that belongs to the same instance as one that they contain.
func (r *reader) ipv4Address(key string) netip.AddrPort {
	a := r.address(key, true)
	if a.IsValid() && !a.Addr().Is4() {
		r.report(key, a.String(), "an IPv4 address and a port, because packets contain addresses of four bytes")
	}
	return a
}

// listenAddressKey returns the key that holds the address on which the process listens for other nodes.
func (r *reader) listenAddressKey() string {
	if r.has("listenAddress") {
		return "listenAddress"
	}
	return "internalAddress"
}

// requireDistinct reports keys that hold the same address. All given keys are for sockets of the same protocol, of
// which only one can be bound to an address.
func (r *reader) requireDistinct(keys ...string) {
	seen := make(map[string]string)
	for _, key := range keys {
		var text string
		if json.Unmarshal(r.fields[key], &text) != nil {
			// The key is missing or not a string, which its own check reports.
			continue
		}
		if other, taken := seen[text]; taken {
			r.report(key, fmt.Sprintf("%q", text), "an address other than that of "+other)
			continue
		}
		seen[text] = key
	}
}

package state

import "net/netip"

// Role is the duty of a process.
type Role uint8

// The roles.
const (
	RoleBalancer Role = iota + 1
	RoleAgent
)

// String returns the role's name in settings and logs.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	default:
		return "unknown"
	}
}

// Phase is how far an agent is in its life, as it announces it.
type Phase uint8

// The phases.
const (
	// PhaseStarting takes no work: the target is not ready yet.
	PhaseStarting Phase = iota
	// PhaseServing takes new flows and new work.
	PhaseServing
	// PhaseDraining carries its flows to their end and takes nothing new.
	PhaseDraining
	// PhaseEmpty takes no work and has no flows: the target has ended.
	PhaseEmpty
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "empty"}[min(p, PhaseEmpty)]
}

// Health is what the fleet believes of a member.
type Health uint8

// The healths, in the order in which one overrides another at the same incarnation.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
	// HealthLeft is a member that said itself that it goes.
	HealthLeft
)

// String returns the health's name.
func (h Health) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(h, HealthLeft)]
}

// Announcement is what an instance says of itself.
type Announcement struct {
	Role       Role
	Service    ServiceName
	DataCentre DataCentre
	Region     Region
	// Gossip is the UDP address of the membership protocol.
	Gossip netip.AddrPort
	// Flow is the UDP address for encapsulated packets.
	Flow netip.AddrPort
	// Peer is the TCP address for gRPC between processes.
	Peer netip.AddrPort
	// Slots is how many requests the target runs at once.
	Slots int
	Phase Phase
	// Since is when the process first served, by its own clock; zero before that.
	Since Millis
	// AbsentFrom and AbsentTo bound the latest time in which the process was paused, or was thought
	// dead, by its own clock; both are zero if there was none.
	AbsentFrom Millis
	AbsentTo   Millis
}

// Member is one row of the membership.
type Member struct {
	ID InstanceID
	// Incarnation never falls for one ID; only the instance itself raises it.
	Incarnation Incarnation
	Health      Health
	Announcement
}

// Overrides reports whether m is newer knowledge than old about the same instance.
func (m Member) Overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Health > old.Health
}

// Present reports whether the member is thought to be running.
func (m Member) Present() bool { return m.Health == HealthAlive || m.Health == HealthSuspect }

// AcceptsWork reports whether the member may be given new flows and new work.
func (m Member) AcceptsWork() bool { return m.Present() && m.Phase == PhaseServing }

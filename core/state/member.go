package state

import "net/netip"

// Role is the kind of a process: balancer or agent.
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

// Phase is the stage of an agent's life cycle, as the agent announces it.
type Phase uint8

// The phases.
const (
	// PhaseStarting means that the agent accepts no work, because its target is not ready yet.
	PhaseStarting Phase = iota
	// PhaseServing means that the agent accepts new flows and requests.
	PhaseServing
	// PhaseDraining means that the agent serves its open flows until they close and accepts nothing new.
	PhaseDraining
	// PhaseEmpty means that the agent accepts no work and has no flows, because its target has terminated.
	PhaseEmpty
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "empty"}[min(p, PhaseEmpty)]
}

// Health is the state of a member in the view of the other members.
type Health uint8

// The health states. At the same incarnation, a later one overrides an earlier one.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
	// HealthLeft is the health of a member that announced itself that it leaves.
	HealthLeft
)

// String returns the health's name.
func (h Health) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(h, HealthLeft)]
}

// Announcement is what a process announces about itself.
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
	// Slots is how many requests the target runs concurrently.
	Slots int
	Phase Phase
	// Since is when the process first entered PhaseServing, by its own clock; zero before that.
	Since Millis
	// AbsentFrom and AbsentTo are the start and the end of the latest interval in which the process was paused
	// or presumed dead, by its own clock; both are zero if there was none.
	AbsentFrom Millis
	AbsentTo   Millis
	// StoreUnreachable is true while the calls of a balancer to the platform's store fail, so that others call it instead.
	StoreUnreachable bool
}

// Member is one process in the membership.
type Member struct {
	ID InstanceID
	// Incarnation never decreases for one ID; only the process itself increases it.
	Incarnation Incarnation
	Health      Health
	Announcement
}

// Overrides reports whether m replaces old, which describes the same process: m has a higher incarnation, or the same one
// and a later health state.
func (m Member) Overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Health > old.Health
}

// Present reports whether the member is assumed to be running: it is alive or suspected.
func (m Member) Present() bool { return m.Health == HealthAlive || m.Health == HealthSuspect }

// AcceptsWork reports whether the member may be sent new flows and requests.
func (m Member) AcceptsWork() bool { return m.Present() && m.Phase == PhaseServing }

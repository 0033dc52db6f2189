package state

import "time"

// Departure is an agent's process that left the fleet as planned and may return: its target may still run and hold flows.
type Departure struct {
	// Member has health HealthLeft and its last known announcement.
	Member Member
	// Age is the time since it left.
	Age time.Duration
}

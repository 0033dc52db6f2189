package state

import (
	"net/netip"
	"time"
)

// Class is the priority of a service or a request when capacity does not suffice for all.
type Class uint8

// The classes.
const (
	ClassNormal Class = iota
	ClassImportant
)

// String returns the class's name in the catalogue.
func (c Class) String() string {
	if c == ClassImportant {
		return "important"
	}
	return "normal"
}

// ParseClass returns the class of that name, or false if there is none.
func ParseClass(name string) (Class, bool) {
	switch name {
	case "normal":
		return ClassNormal, true
	case "important":
		return ClassImportant, true
	default:
		return ClassNormal, false
	}
}

// Limits bounds the load of each target of a service.
type Limits struct {
	// Slots is how many requests a target runs concurrently, unless its agent's settings override it.
	Slots int
	// Queue is how many requests may be queued for a target; with zero, a request that finds no free slot is refused
	// immediately.
	Queue int
	// Connections is how many connections of callers may be open at an instance of the service.
	Connections int
	// Deadline is the time allowed for a request whose caller states no deadline.
	Deadline time.Duration
	// MaxDeadline is the longest deadline that a caller may state.
	MaxDeadline time.Duration
	// RetryBudget limits retries to a fraction of the successful requests, from 0 to 1.
	RetryBudget float64
	// BodyBytes is the maximum size of a request body.
	BodyBytes int
}

// Entry is one service in the catalogue.
type Entry struct {
	Service ServiceName
	Owner   string
	Class   Class
	// Address is where the fabric, the network in front of the balancers, delivers the service's packets.
	Address netip.AddrPort
	// Names lists the host names that callers use for the service; it may be empty.
	Names  []string
	Limits Limits
	Edit   Edit
}

// Edit identifies one change of a record, so that a writer that did not receive the reply recognises its own write.
type Edit struct {
	ID string
	// Before is the ID of the previous edit, which this one replaced; empty for the first.
	Before string
	At     Millis
	// By is the name of the operator who made the edit.
	By string
	// Deleted marks a tombstone: the record is kept so that the deletion spreads.
	Deleted bool
}

// Drain is an operator's intent that an instance accepts no new work.
type Drain struct {
	Instance InstanceName
	Edit     Edit
}

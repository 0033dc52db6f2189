package evac

import (
	"slices"
	"time"

	"monsoonstep/core/state"
)

// LostOrderHold is how long a data centre stays evacuated after a restored store has lost the order: the time for the operator to
// write it again.
const LostOrderHold = time.Minute

// Outcome is how a tracker handled orders.
type Outcome uint8

// The outcomes.
const (
	// Adopted: the orders are newer and differ from the former ones, or are the first.
	Adopted Outcome = iota
	// Unchanged: the orders have the same data centres as the present ones, and are as new or newer.
	Unchanged
	// Outdated: the orders are older than the present ones, or differ from them at the same position, and were ignored.
	Outdated
)

// Tracker holds the newest orders that a node has received. The zero Tracker knows none. It is not safe for concurrent use.
type Tracker struct {
	orders Orders
	known  bool
	// held has the data centres that were evacuated in a former era of the store and are not in the present orders, with the time until
	// which they stay evacuated. None of them is in orders.
	held map[state.DataCentre]time.Time
	// lastReturns holds when each data centre that was evacuated was last returned to service.
	lastReturns map[state.DataCentre]time.Time
}

// NewTracker returns a tracker that knows no orders.
func NewTracker() *Tracker {
	return &Tracker{held: make(map[state.DataCentre]time.Time), lastReturns: make(map[state.DataCentre]time.Time)}
}

// Apply adopts orders if they are newer than the present ones. If the store's era has risen, data centres that were evacuated and are
// not in the new orders stay evacuated for LostOrderHold from now: the store may have lost the order.
func (t *Tracker) Apply(now time.Time, o Orders) Outcome {
	t.expireHolds(now)
	same := slices.Equal(o.DataCentres, t.orders.DataCentres)
	if t.known && !o.NewerThan(t.orders) {
		if same && o.Position == t.orders.Position {
			return Unchanged
		}
		return Outdated
	}
	eraRose := t.known && o.Position.Era > t.orders.Position.Era
	for _, dc := range t.Evacuations(now) {
		_, isHeld := t.held[dc]
		switch {
		case o.contains(dc):
			delete(t.held, dc)
		case eraRose:
			t.held[dc] = now.Add(LostOrderHold)
		case !isHeld:
			t.lastReturns[dc] = now
		}
	}
	wasKnown := t.known
	t.orders, t.known = o, true
	if wasKnown && same {
		return Unchanged
	}
	return Adopted
}

// Known reports whether any orders are known.
func (t *Tracker) Known() bool { return t.known }

// Orders returns the newest orders.
func (t *Tracker) Orders() Orders { return t.orders }

// Evacuated reports whether a data centre is evacuated.
func (t *Tracker) Evacuated(now time.Time, dc state.DataCentre) bool {
	t.expireHolds(now)
	_, isHeld := t.held[dc]
	return isHeld || t.orders.contains(dc)
}

// Evacuations returns all evacuated data centres, sorted. Those that are not in Orders are held.
func (t *Tracker) Evacuations(now time.Time) []state.DataCentre {
	t.expireHolds(now)
	all := slices.Clone(t.orders.DataCentres)
	for dc := range t.held {
		all = append(all, dc)
	}
	slices.Sort(all)
	return all
}

// Held returns the data centres that stay evacuated although the present orders don't name them, sorted.
func (t *Tracker) Held(now time.Time) []state.DataCentre {
	return slices.DeleteFunc(t.Evacuations(now), t.orders.contains)
}

// LastReturn returns when a data centre was last returned to service, as of the last call with a time; zero if it was not since the
// tracker was created.
func (t *Tracker) LastReturn(dc state.DataCentre) time.Time { return t.lastReturns[dc] }

// expireHolds returns the data centres to service whose hold has ended.
func (t *Tracker) expireHolds(now time.Time) {
	for dc, until := range t.held {
		if !now.Before(until) {
			delete(t.held, dc)
			t.lastReturns[dc] = until
		}
	}
}

package node

import (
	"context"
	"slices"
	"time"

	"monsoonstep/core/coord/evac"
	"monsoonstep/core/state"
)

// ConfigSource reads what the operator has written to the store: the configuration and, if it is asked to, the orders to evacuate data
// centres.
type ConfigSource struct {
	// Read returns what the store has. An error of kind NotFound means that it has no configuration; a source that reads the orders
	// returns these without a configuration instead.
	Read func(ctx context.Context) (StoreContent, error)
	// Wait waits until something changes after a position and returns the changes. An error of kind NotFound means that the store no
	// longer has the history since the position.
	Wait func(ctx context.Context, after state.StorePosition, wait time.Duration) (StoreChanges, error)
	// Decode decodes a configuration in its stored form.
	Decode func(stored []byte) (state.Config, error)
}

// StoreContent is the result of a read.
type StoreContent struct {
	// Position is the store's position of the content. Its era is set after an error too, if the store answered.
	Position state.StorePosition
	// Config is the newest configuration in its stored form; nil if there is none.
	Config []byte
	// Evacuated are all evacuated data centres, in any order; nil if the source does not read them.
	Evacuated []state.DataCentre
}

// StoreChanges is the result of a wait.
type StoreChanges struct {
	// Position is the position up to which all changes have been returned. Its era is set after an error too, if the store answered.
	Position state.StorePosition
	// Config is the newest configuration in its stored form; nil if it did not change within the wait. ConfigChanges is how often it
	// changed.
	Config        []byte
	ConfigChanges int
	// Evacuations are the changes of orders, in the order in which they were made.
	Evacuations []EvacuationChange
}

// EvacuationChange is an order to evacuate a data centre, or its withdrawal.
type EvacuationChange struct {
	DataCentre state.DataCentre
	// Evacuated is true for an order, false for a withdrawal.
	Evacuated bool
	Revision  state.Revision
}

// storeUpdate is what the syncer applies after a read or a wait.
type storeUpdate struct {
	position state.StorePosition
	// config is nil if it is missing or has not changed. followsLast is true if it replaced the configuration of the last update that
	// had one, without another in between.
	config      []byte
	followsLast bool
	// orders is nil if the orders were not read or have not changed.
	orders *evac.Orders
}

// updateOfRead returns the update that follows from a read, and keeps the orders for those that follow.
func (s *configSyncer) updateOfRead(c StoreContent) storeUpdate {
	u := storeUpdate{position: c.Position, config: c.Config}
	if s.b.evacuation != nil {
		s.orders = evac.NewOrders(c.Position, c.Evacuated)
		u.orders = &s.orders
	}
	return u
}

// updateOfChanges returns the update that follows from a wait. Its orders are those at the last change, so that all balancers that watch
// the store announce the same.
func (s *configSyncer) updateOfChanges(c StoreChanges) storeUpdate {
	u := storeUpdate{position: c.Position, config: c.Config, followsLast: c.ConfigChanges == 1}
	if s.b.evacuation == nil || len(c.Evacuations) == 0 {
		return u
	}
	dataCentres := slices.Clone(s.orders.DataCentres)
	at := s.orders.Position
	for _, change := range c.Evacuations {
		dataCentres = slices.DeleteFunc(dataCentres, func(dc state.DataCentre) bool { return dc == change.DataCentre })
		if change.Evacuated {
			dataCentres = append(dataCentres, change.DataCentre)
		}
		at = state.StorePosition{Era: c.Position.Era, Revision: change.Revision}
	}
	s.orders = evac.NewOrders(at, dataCentres)
	u.orders = &s.orders
	return u
}

// applyOrders applies the orders of an update, if it has any.
func (s *configSyncer) applyOrders(ctx context.Context, u storeUpdate) error {
	if u.orders == nil {
		return nil
	}
	orders := *u.orders
	return s.b.runInLoop(ctx, func(now time.Time) { s.b.evacuation.applyFromStore(now, orders) })
}

// initialised reports whether this balancer has what it needs to place new flows: a configuration and, with evacuation on, orders.
func (s *configSyncer) initialised() bool {
	return s.latest.Load() != nil && (s.b.evacuation == nil || s.b.evacuation.known.Load())
}

// maxStoreRetryDelay is the maximum delay after a failed call with evacuation on. An order that the store confirmed right before it
// went down for seconds must be read soon after it answers again.
const maxStoreRetryDelay = 800 * time.Millisecond

// timeoutOfRead returns the timeout of a read. With evacuation on, a read may consist of several pages.
func (s *configSyncer) timeoutOfRead() time.Duration {
	if s.b.evacuation != nil {
		return 2 * readTimeout
	}
	return readTimeout
}

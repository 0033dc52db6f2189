package node

import (
	"bytes"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/evac"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

// evacuationRecordKey is the key of the record with the newest orders to evacuate data centres; evac.Encode defines its content.
const evacuationRecordKey state.Key = "evacuation"

// The sources of orders in log lines.
const (
	ordersFromStore = "store"
	ordersFromFleet = "fleet"
	// ordersExpired: the time for which an order was kept that a restored store has lost is over.
	ordersExpired = "expired"
)

// evacuation keeps a node's orders to evacuate data centres. It is nil if the settings don't ask for evacuation. Only the event loop uses
// it, except for known and count.
type evacuation struct {
	tracker *evac.Tracker
	fleet   *fleet
	log     logs.Logger
	changes *metrics.Counter
	// known is true once any orders are known.
	known atomic.Bool
	// count is the number of evacuated data centres.
	count atomic.Int64
	// reported are the evacuated data centres that were last passed to onChange.
	reported []state.DataCentre
	// held are the data centres of which it was last logged that the store has lost their orders.
	held []state.DataCentre
	// onChange is called when the first orders are known and when the evacuated data centres have changed.
	onChange func(now time.Time, dataCentres []state.DataCentre)
}

// newEvacuation returns the orders of a node that starts now, or nil if evacuation is off.
func newEvacuation(s Settings, f *fleet, log logs.Logger, set *metrics.Set) *evacuation {
	if !s.Evacuation {
		return nil
	}
	e := &evacuation{
		tracker:  evac.NewTracker(),
		fleet:    f,
		log:      log,
		changes:  set.NewCounter("monsoonstep_evacuation_changes_total"),
		onChange: func(time.Time, []state.DataCentre) {},
	}
	set.NewGauge("monsoonstep_evacuated_data_centres", func() float64 { return float64(e.count.Load()) })
	return e
}

// applyFromStore applies orders that were read from the store and announces them to the fleet. If they are older than the known ones, it
// announces those again.
func (e *evacuation) applyFromStore(now time.Time, o evac.Orders) {
	if e.tracker.Apply(now, o) == evac.Outdated {
		known := e.tracker.Orders().Position
		e.log.Warn("store returned older evacuation orders than the known ones; they are ignored",
			"era", o.Position.Era, "revision", o.Position.Revision, "knownEra", known.Era, "knownRevision", known.Revision)
		e.fleet.machine.SpreadRecord(evacuationRecordKey)
		return
	}
	if !e.fleet.announceOrders(o) {
		e.log.Error("evacuation orders can't be announced to the fleet; only this node follows them",
			"era", o.Position.Era, "revision", o.Position.Revision, "dataCentres", len(o.DataCentres))
	}
	e.update(now, ordersFromStore)
}

// applyAnnounced applies the orders that the fleet has announced, if there are any.
func (e *evacuation) applyAnnounced(now time.Time) {
	if e == nil {
		return
	}
	if o, ok := e.fleet.announcedOrders(); ok && e.tracker.Apply(now, o) != evac.Outdated {
		e.update(now, ordersFromFleet)
	}
}

// tick ends the evacuations whose orders have expired.
func (e *evacuation) tick(now time.Time) {
	if e != nil && e.tracker.Known() {
		e.update(now, ordersExpired)
	}
}

// update logs and passes on the changes of the evacuated data centres since the last call.
func (e *evacuation) update(now time.Time, source string) {
	current := e.tracker.Evacuations(now)
	e.logHeld(now)
	if e.known.Load() && slices.Equal(current, e.reported) {
		return
	}
	position := e.tracker.Orders().Position
	for _, dc := range current {
		if !slices.Contains(e.reported, dc) {
			e.changes.Inc()
			e.log.Info("data centre is evacuated", "dataCentre", dc, "era", position.Era, "revision", position.Revision, "source", source)
		}
	}
	for _, dc := range e.reported {
		if !slices.Contains(current, dc) {
			e.changes.Inc()
			e.log.Info("data centre is in use again", "dataCentre", dc, "era", position.Era, "revision", position.Revision, "source", source)
		}
	}
	e.reported = current
	e.count.Store(int64(len(current)))
	e.onChange(now, current)
	e.known.Store(true)
}

// logHeld logs for which data centres a restored store has lost the order.
func (e *evacuation) logHeld(now time.Time) {
	held := e.tracker.Held(now)
	for _, dc := range held {
		if !slices.Contains(e.held, dc) && slices.Contains(e.reported, dc) {
			e.log.Warn("restored store has no evacuation order of a data centre any more; it stays evacuated for now",
				"dataCentre", dc, "era", e.tracker.Orders().Position.Era, "holdTime", evac.LostOrderHold)
		}
	}
	e.held = held
}

// announceOrders announces orders to the fleet and reports whether they can be encoded. Orders that are not newer than the announced ones
// are not spread.
func (f *fleet) announceOrders(o evac.Orders) bool {
	revision, value, ok := evac.Encode(o)
	if ok {
		f.machine.MergeRecord(state.Record{Key: evacuationRecordKey, Revision: revision, Value: value})
	}
	return ok
}

// announcedOrders returns the newest announced orders; false if there are none.
func (f *fleet) announcedOrders() (evac.Orders, bool) {
	r, ok := f.machine.RecordSet().Get(evacuationRecordKey)
	if !ok {
		return evac.Orders{}, false
	}
	return evac.Decode(r.Revision, r.Value), true
}

// answerOutdatedOrders spreads the announced orders again if received records have older ones that differ.
func (f *fleet) answerOutdatedOrders(received []state.Record) {
	known, ok := f.machine.RecordSet().Get(evacuationRecordKey)
	if !ok {
		return
	}
	for _, r := range received {
		if r.Key == evacuationRecordKey && r.Revision < known.Revision && !bytes.Equal(r.Value, known.Value) {
			f.machine.SpreadRecord(evacuationRecordKey)
		}
	}
}

// EvacuationDump is a node's orders to evacuate data centres.
type EvacuationDump struct {
	// Known is true once any orders are known. Until then a balancer queues new flows.
	Known bool `json:"known"`
	// StoreEra and StoreRevision are the store's position of the orders.
	StoreEra      uint64 `json:"storeEra"`
	StoreRevision int64  `json:"storeRevision"`
	// Evacuated are the evacuated data centres. Held are those among them whose orders a restored store has lost.
	Evacuated []string `json:"evacuated"`
	Held      []string `json:"held"`
}

// dump returns the status for operators, or nil if evacuation is off.
func (e *evacuation) dump(now time.Time) *EvacuationDump {
	if e == nil {
		return nil
	}
	position := e.tracker.Orders().Position
	return &EvacuationDump{
		Known: e.tracker.Known(), StoreEra: uint64(position.Era), StoreRevision: int64(position.Revision),
		Evacuated: dataCentreNames(e.tracker.Evacuations(now)), Held: dataCentreNames(e.tracker.Held(now)),
	}
}

// dataCentreNames converts the names of data centres.
func dataCentreNames(list []state.DataCentre) []string {
	names := make([]string, 0, len(list))
	for _, dc := range list {
		names = append(names, string(dc))
	}
	return names
}

// Package evac holds the operator's orders to evacuate data centres: while a data centre is evacuated, no new flow is sent to a
// target in it. Orders are read from the platform's store and spread through the fleet, so a node may receive them late, twice or in
// any order. A Tracker keeps the newest.
//
// The package is deterministic: the time is passed in.
package evac

import (
	"slices"
	"strings"

	"monsoonstep/core/state"
)

// Orders are the evacuated data centres as of a position of the store.
type Orders struct {
	Position state.StorePosition
	// DataCentres is sorted and has each data centre once.
	DataCentres []state.DataCentre
}

// NewOrders returns the orders for data centres in any order.
func NewOrders(position state.StorePosition, dataCentres []state.DataCentre) Orders {
	sorted := slices.Clone(dataCentres)
	slices.Sort(sorted)
	return Orders{Position: position, DataCentres: slices.Compact(sorted)}
}

// NewerThan reports whether the orders are newer than others: a higher era is newer, and within an era a higher revision.
func (o Orders) NewerThan(other Orders) bool {
	if o.Position.Era != other.Position.Era {
		return o.Position.Era > other.Position.Era
	}
	return o.Position.Revision > other.Position.Revision
}

// maxNameBytes is the maximum length of the name of a data centre, as in the settings of nodes.
const maxNameBytes = 40

// ValidName reports whether a name can be that of a data centre with nodes. Others can't be encoded, and need not be.
func ValidName(dc state.DataCentre) bool {
	return dc != "" && len(dc) <= maxNameBytes && !strings.ContainsAny(string(dc), separator+"/")
}

// contains reports whether the orders name a data centre.
func (o Orders) contains(dc state.DataCentre) bool { return slices.Contains(o.DataCentres, dc) }

const (
	// revisionBits is the number of lower bits of a record's revision that hold the store's revision. The store's era has the other 23
	// bits above them, so that the newer of two records is the one with the newer orders.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<23 - 1
	// separator separates data centres in a record's value. Names in the settings of nodes don't contain it.
	separator = ","
	// maxValueBytes is the maximum length of a record's value. A gossip message has 1,200 bytes, and the names in the settings of nodes
	// have at most 40, so this is enough for 24 data centres with the longest names.
	maxValueBytes = 1000
)

// Encode returns the revision and the value of the gossip record with the orders. It reports false if the position or the names can't be
// encoded.
func Encode(o Orders) (state.Revision, []byte, bool) {
	names := make([]string, 0, len(o.DataCentres))
	for _, dc := range o.DataCentres {
		if !ValidName(dc) {
			return 0, nil, false
		}
		names = append(names, string(dc))
	}
	value := []byte(strings.Join(names, separator))
	position := o.Position
	if position.Era > maxEra || position.Revision < 0 || position.Revision > maxRevision || len(value) > maxValueBytes {
		return 0, nil, false
	}
	return state.Revision(position.Era)<<revisionBits | position.Revision, value, true
}

// Decode returns the orders in a gossip record. Empty names are ignored.
func Decode(revision state.Revision, value []byte) Orders {
	position := state.StorePosition{Era: state.StoreEra(revision >> revisionBits), Revision: revision & maxRevision}
	var dataCentres []state.DataCentre
	for name := range strings.SplitSeq(string(value), separator) {
		if name != "" {
			dataCentres = append(dataCentres, state.DataCentre(name))
		}
	}
	return NewOrders(position, dataCentres)
}

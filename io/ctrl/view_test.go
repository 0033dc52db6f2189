package ctrl

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/state"
)

// record returns the record of a catalogue entry.
func record(service, address string, revision state.Revision) state.Record {
	value := fmt.Sprintf(`{"service":%q,"owner":"o","class":"normal","address":%q,"limits":{}}`, service, address)
	return state.Record{Key: state.EntryKey(state.ServiceName(service)), Revision: revision, Value: []byte(value)}
}

func ignoreInvalid(state.Record, error) {}

// mergeAndUpdate merges the records one by one and updates c after each.
func mergeAndUpdate(c *fleetConfig, records []state.Record) {
	set := state.NewRecordSet()
	for _, r := range records {
		set.Merge(r)
		c.update(set, ignoreInvalid)
	}
}

// An invalid record must not take the last valid entry of its service out of force, and is reported once, not at each update.
func TestInvalidRecordKeepsLastValidEntry(t *testing.T) {
	check := is.New(t)
	c := newFleetConfig()
	invalid := record("atelier", "nowhere", 2)
	reported := 0
	set := state.NewRecordSet()
	set.Merge(record("atelier", "10.0.0.1:443", 1))
	c.update(set, ignoreInvalid)
	set.Merge(invalid)
	for range 3 {
		c.update(set, func(state.Record, error) { reported++ })
	}
	check.Equal(reported, 1) // once, not at each update
	active := c.active(func(state.Entry, error) {})
	check.Equal(active[state.ServiceName("atelier").ID()].Address.String(), "10.0.0.1:443")
}

// All nodes must have the same entries in force, also when entries clash, whatever the order in which gossip delivered the
// records.
func TestEntriesInForceDoNotDependOnRecordOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []state.Record
		for i := range rapid.IntRange(1, 12).Draw(t, "records") {
			service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
			port := rapid.IntRange(1, 3).Draw(t, "port")
			records = append(records, record(service, fmt.Sprintf("10.0.0.1:%d", port), state.Revision(i+1)))
		}
		one, two := newFleetConfig(), newFleetConfig()
		mergeAndUpdate(one, records)
		mergeAndUpdate(two, rapid.Permutation(records).Draw(t, "order"))
		ignoreClash := func(state.Entry, error) {}
		first, second := one.active(ignoreClash), two.active(ignoreClash)
		if fmt.Sprint(first) != fmt.Sprint(second) {
			t.Fatalf("entries in force depend on the order of the records: %v and %v", first, second)
		}
		for id, e := range first {
			for other, f := range first {
				if id != other && e.Address == f.Address {
					t.Fatalf("%s and %s are both in force with the same address", e.Service, f.Service)
				}
			}
		}
	})
}

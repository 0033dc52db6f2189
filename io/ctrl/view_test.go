package ctrl

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/state"
)

func record(service, address string, revision state.Revision) state.Record {
	value := fmt.Sprintf(`{"service":%q,"owner":"o","class":"normal","address":%q,"limits":{}}`, service, address)
	return state.Record{Key: state.EntryKey(state.ServiceName(service)), Revision: revision, Value: []byte(value)}
}

func ignore(state.Record, error) {}

func readAll(in *intent, records []state.Record) {
	book := state.NewRecordSet()
	for _, r := range records {
		book.Merge(r)
		in.read(book, ignore)
	}
}

func TestLastGoodEntryStays(t *testing.T) {
	check := is.New(t)
	in := newIntent()
	bad := record("atelier", "nowhere", 2)
	refused := 0
	book := state.NewRecordSet()
	book.Merge(record("atelier", "10.0.0.1:443", 1))
	in.read(book, ignore)
	book.Merge(bad)
	for range 3 {
		in.read(book, func(state.Record, error) { refused++ })
	}
	check.Equal(refused, 1) // told once
	live := in.live(func(state.Entry, error) {})
	check.Equal(live[state.ServiceName("atelier").ID()].Address.String(), "10.0.0.1:443")
}

// Nodes that heard of the same records in any order have the same entries in force, clashes included.
func TestClashesEndAlikeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []state.Record
		for i := range rapid.IntRange(1, 12).Draw(t, "records") {
			service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
			port := rapid.IntRange(1, 3).Draw(t, "port")
			records = append(records, record(service, fmt.Sprintf("10.0.0.1:%d", port), state.Revision(i+1)))
		}
		one, two := newIntent(), newIntent()
		readAll(one, records)
		readAll(two, rapid.Permutation(records).Draw(t, "order"))
		nobody := func(state.Entry, error) {}
		first, second := one.live(nobody), two.live(nobody)
		if fmt.Sprint(first) != fmt.Sprint(second) {
			t.Fatalf("%v differs from %v", first, second)
		}
		for id, e := range first {
			for other, f := range first {
				if id != other && e.Address == f.Address {
					t.Fatalf("%s and %s have one address in force", e.Service, f.Service)
				}
			}
		}
	})
}

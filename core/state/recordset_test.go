package state_test

import (
	"testing"

	"pgregory.net/rapid"

	"monsoonstep/core/state"
)

func drawRecord(t *rapid.T) state.Record {
	key := rapid.SampledFrom([]state.Key{"entries/a", "entries/b", "drains/c", "ring"}).Draw(t, "key")
	revision := rapid.Int64Range(1, 30).Draw(t, "revision")
	return state.Record{Key: key, Revision: state.Revision(revision), Value: []byte{byte(revision)}}
}

// Record sets that have merged the same records, in any order and with repeats, must be equal, and no key may ever
// return to a lower revision.
func TestRecordSetsConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 40).Draw(t, "records")
		order := rapid.Permutation(records).Draw(t, "order")
		a, b := state.NewRecordSet(), state.NewRecordSet()
		for _, r := range records {
			a.Merge(r)
		}
		for _, r := range append(order, records...) {
			before, _ := b.Get(r.Key)
			b.Merge(r)
			after, _ := b.Get(r.Key)
			if after.Revision < before.Revision || after.Revision < r.Revision {
				t.Fatalf("key %s went from revision %d to %d", r.Key, before.Revision, after.Revision)
			}
		}
		if a.Digest() != b.Digest() || a.HighestRevision() != b.HighestRevision() {
			t.Fatal("record sets with the same records have different digests or highest revisions")
		}
		extra := state.Record{Key: "entries/a", Revision: 31}
		if !a.Merge(extra) || a.Digest() == b.Digest() {
			t.Fatal("a newer record was refused or left the digest unchanged")
		}
	})
}

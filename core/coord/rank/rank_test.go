package rank_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/coord/rank"
)

// The removal of a candidate moves only the keys that were mapped to it: the order of the others stays the same for every key.
func TestRemovedCandidateMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		candidates := rapid.SliceOfNDistinct(rapid.Uint64(), 3, 20, rapid.ID[uint64]).Draw(rt, "candidates")
		key := rapid.Uint64().Draw(rt, "key")
		removed := rapid.IntRange(0, len(candidates)-1).Draw(rt, "removed")
		var before []uint64
		for _, i := range rank.Top(key, candidates, len(candidates)) {
			if i != removed {
				before = append(before, candidates[i])
			}
		}
		rest := append(append([]uint64(nil), candidates[:removed]...), candidates[removed+1:]...)
		var after []uint64
		for _, i := range rank.Top(key, rest, len(rest)) {
			after = append(after, rest[i])
		}
		is.New(t).Equal(before, after)
	})
}

func TestTopReturnsAllIfThereAreTooFew(t *testing.T) {
	is := is.New(t)
	is.Equal(len(rank.Top(1, []uint64{7, 8}, 5)), 2)
	is.Equal(len(rank.Top(1, nil, 5)), 0)
}

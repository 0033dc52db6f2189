// Package rank orders candidates for a key by a rendezvous hash (Thaler and Ravishankar, "A name-based
// mapping scheme for rendezvous", 1996): nodes with the same candidates agree, and a candidate that
// leaves moves only its own keys.
package rank

import (
	"slices"

	"monsoonstep/core/state"
)

// Score is the rank of a candidate for a key; the highest wins.
func Score(key, candidate uint64) uint64 { return state.Mix(key ^ candidate) }

// Top returns the indexes of the best candidates for a key, best first; fewer if there are not enough.
func Top(key uint64, candidates []uint64, count int) []int {
	count = min(count, len(candidates))
	best := make([]int, 0, count)
	for range count {
		best = append(best, next(key, candidates, best))
	}
	return best
}

// next returns the best candidate that is not yet taken.
func next(key uint64, candidates []uint64, taken []int) int {
	found := -1
	var high uint64
	for i, candidate := range candidates {
		if slices.Contains(taken, i) {
			continue
		}
		if score := Score(key, candidate); found < 0 || score > high {
			found, high = i, score
		}
	}
	return found
}

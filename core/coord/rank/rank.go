// Package rank orders candidates for a key by rendezvous hashing (Thaler and Ravishankar, "A name-based mapping scheme for
// rendezvous", 1996). Nodes with the same candidates compute the same order, and the removal of a candidate moves only the keys
// that were mapped to it.
package rank

import (
	"slices"

	"monsoonstep/core/state"
)

// Score returns the score of a candidate for a key; the candidate with the highest score ranks first.
func Score(key, candidate uint64) uint64 { return state.Mix(key ^ candidate) }

// Top returns the indexes of the count highest-ranked candidates for a key, the highest first; all if there are fewer.
func Top(key uint64, candidates []uint64, count int) []int {
	count = min(count, len(candidates))
	best := make([]int, 0, count)
	for range count {
		best = append(best, bestUnchosen(key, candidates, best))
	}
	return best
}

// bestUnchosen returns the index of the highest-ranked candidate that is not yet chosen, or -1 if there is none.
func bestUnchosen(key uint64, candidates []uint64, chosen []int) int {
	best := -1
	var bestScore uint64
	for i, candidate := range candidates {
		if slices.Contains(chosen, i) {
			continue
		}
		if score := Score(key, candidate); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

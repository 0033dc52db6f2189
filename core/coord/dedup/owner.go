package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/state"
)

// Candidate is a process of the key's service as a node knows it, running or not.
type Candidate struct {
	ID state.InstanceID
	// Present is true while the process is thought to be running.
	Present bool
	// Left is true for a process that said itself that it went, after handing its keys over, or that
	// an operator has declared gone.
	Left bool
	// Since is when the process first served; zero if it has not.
	Since      state.Millis
	AbsentFrom state.Millis
	AbsentTo   state.Millis
	// GoneAt is when this node learnt that the process is dead; zero while it is present.
	GoneAt state.Millis
}

// Finding is what is known of a key's owner.
type Finding uint8

// The findings.
const (
	// Owned means that the owner is known and thought to be running.
	Owned Finding = iota
	// Lost means that the owner at the key's time is gone: whether the request ran can't be known.
	Lost
	// Settling means that no process has been known for long enough to own the key.
	Settling
	// Minority means that most of the service can't be reached, so that there may be another owner.
	Minority
)

// Owners finds the owner of a key. Nodes whose views differ by less than Settle agree on it, or one
// of them finds it lost.
type Owners struct {
	// SettleWindow is the time within which every node learns of a change of members, clock error included.
	SettleWindow time.Duration
}

// Find returns the owner of a key: the winner of a rendezvous hash over the processes that were known
// everywhere when the key was made. One that died is passed over only for keys that were made long
// enough after its death; for older keys it may have run the request.
func (o Owners) Find(key Key, candidates []Candidate) (state.InstanceID, Finding) {
	settle := state.Millis(o.SettleWindow.Milliseconds())
	var settled []Candidate
	for _, c := range candidates {
		if !c.Left && c.Since != 0 && c.Since+settle <= key.Time {
			settled = append(settled, c)
		}
	}
	if len(settled) == 0 {
		return "", Settling
	}
	if !majority(settled) {
		return "", Minority
	}
	for len(settled) > 0 {
		top := winner(key, settled)
		c := settled[top]
		if c.AbsentTo != 0 && key.Time >= c.AbsentFrom && key.Time < c.AbsentTo+settle {
			return "", Lost
		}
		if c.Present {
			return c.ID, Owned
		}
		if key.Time < c.GoneAt+settle {
			return "", Lost
		}
		settled = append(settled[:top:top], settled[top+1:]...)
	}
	return "", Minority
}

// majority reports whether this side of a possible partition may own keys: more than half of the
// processes are present, or half with the one whose ID sorts first.
func majority(settled []Candidate) bool {
	present := 0
	first := 0
	for i, c := range settled {
		if c.Present {
			present++
		}
		if c.ID < settled[first].ID {
			first = i
		}
	}
	if 2*present == len(settled) {
		return settled[first].Present
	}
	return 2*present > len(settled)
}

// winner returns the index of the candidate that ranks first for a key.
func winner(key Key, candidates []Candidate) int {
	hashes := make([]uint64, 0, len(candidates))
	for _, c := range candidates {
		hashes = append(hashes, c.ID.Hash())
	}
	return rank.Top(xxhash.Sum64(key.ID[:]), hashes, 1)[0]
}

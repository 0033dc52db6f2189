package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/state"
)

// Candidate is a process of the key's service, running or not, as seen by one node.
type Candidate struct {
	ID state.InstanceID
	// Present is true while the process is assumed to be running.
	Present bool
	// Left is true for a process that announced that it left, after it handed over its records, or that an operator
	// declared gone.
	Left bool
	// Since is when the process first served; zero if it has not.
	Since state.Millis
	// AbsentFrom and AbsentTo bound the latest time in which the process was paused or presumed dead; both are zero
	// if there was none.
	AbsentFrom state.Millis
	AbsentTo   state.Millis
	// DownSince is when this node noticed that the process is no longer running; zero while it is present.
	DownSince state.Millis
}

// Finding is what is known about the owner of a key.
type Finding uint8

// The findings of Owners.Find.
const (
	// Owned means that the owner is known and assumed to be running.
	Owned Finding = iota
	// Lost means that the owner was paused or presumed dead around the key's time, or has been presumed dead since:
	// whether the request ran can't be determined.
	Lost
	// Settling means that no process had been known for long enough at the key's time to own the key.
	Settling
	// Minority means that this node may be on the smaller side of a network partition, so that a process on the other
	// side may own the key.
	Minority
)

// Owners finds the owner of a key. Two nodes whose views of the membership differ by less than SettleWindow find the
// same owner, or at least one of them finds none.
type Owners struct {
	// SettleWindow is the time within which every node learns of a membership change, including clock error.
	SettleWindow time.Duration
}

// Find returns the owner of a key: the winner of a rendezvous hash over the processes that were known to all nodes
// when the key was created. A dead process is skipped only for keys that were created at least SettleWindow after
// its death was noticed; for older keys it may have run the request.
func (o Owners) Find(key Key, candidates []Candidate) (state.InstanceID, Finding) {
	settleMillis := state.Millis(o.SettleWindow.Milliseconds())
	var settled []Candidate
	for _, c := range candidates {
		if !c.Left && c.Since != 0 && c.Since+settleMillis <= key.Time {
			settled = append(settled, c)
		}
	}
	if len(settled) == 0 {
		return "", Settling
	}
	if !hasMajority(settled) {
		return "", Minority
	}
	for len(settled) > 0 {
		top := winner(key, settled)
		c := settled[top]
		if c.AbsentTo != 0 && key.Time >= c.AbsentFrom && key.Time < c.AbsentTo+settleMillis {
			return "", Lost
		}
		if c.Present {
			return c.ID, Owned
		}
		if key.Time < c.DownSince+settleMillis {
			return "", Lost
		}
		settled = append(settled[:top:top], settled[top+1:]...)
	}
	return "", Minority
}

// hasMajority reports whether this side of a possible network partition may own keys: more than half of the
// processes are present, or exactly half including the one whose ID sorts first.
func hasMajority(settled []Candidate) bool {
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

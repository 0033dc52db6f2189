package queue

import (
	"cmp"
	"slices"
	"time"

	"monsoonstep/core/state"
)

// Next returns the flow of a service that comes first in the order among those that fit, or nil if none does.
func (q *Queue) Next(now time.Time, service state.ServiceName, fits func(f *Flow, late bool) bool) *Flow {
	l := q.lines[service]
	if l == nil {
		return nil
	}
	var best *Flow
	bestLate := false
	for _, f := range l.flows {
		late := f.late(now)
		if !f.Routed || !fits(f, late) {
			continue
		}
		if best == nil || compare(f, best, late, bestLate) < 0 {
			best, bestLate = f, late
		}
	}
	return best
}

// Sorted returns all flows in their order.
func (q *Queue) Sorted(now time.Time) []*Flow {
	list := make([]*Flow, 0, len(q.flows))
	for _, l := range q.lines {
		list = append(list, l.flows...)
	}
	slices.SortFunc(list, func(x, y *Flow) int { return compare(x, y, x.late(now), y.late(now)) })
	return list
}

// compare orders flows: those that can still be answered within their latency objective before those that can't, so that a
// backlog does not make all later flows late too; then by priority, highest first; then by age.
//
// The oldest goes first, except among flows in time of a service that is overloaded: each of those would otherwise be
// offered only when its objective has nearly passed, and most would be answered just too late (adaptive LIFO: Maurer,
// "Fail at Scale", 2015).
func compare(x, y *Flow, xLate, yLate bool) int {
	if xLate != yLate {
		if yLate {
			return -1
		}
		return 1
	}
	byAge := x.startedAt().Compare(y.startedAt())
	if !xLate && x.line.overloaded {
		byAge = -byAge
	}
	return cmp.Or(
		cmp.Compare(x.Route.Priority, y.Route.Priority),
		byAge,
		cmp.Compare(x.number, y.number),
	)
}

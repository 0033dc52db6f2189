package gossip

import (
	"slices"

	"monsoonstep/core/state"
)

// update is an item that is still being spread: a member or a record, whichever is set.
type update struct {
	member state.InstanceID
	record state.Key
	// sent is how often the rumour went out since its last change.
	sent int
}

// updateQueue holds rumours, the least sent first.
type updateQueue struct {
	// items is sorted by sent; at most one rumour for each member and each record.
	items []*update
}

func (q *updateQueue) empty() bool { return len(q.items) == 0 }

// hasRecord reports whether a record is still being spread.
func (q *updateQueue) hasRecord() bool {
	return slices.ContainsFunc(q.items, func(r *update) bool { return r.record != "" })
}

func (q *updateQueue) addMember(id state.InstanceID) { q.add(&update{member: id}) }

func (q *updateQueue) addRecord(k state.Key) { q.add(&update{record: k}) }

func (q *updateQueue) add(fresh *update) {
	q.items = slices.DeleteFunc(q.items, func(r *update) bool {
		return r.member == fresh.member && r.record == fresh.record
	})
	q.items = slices.Insert(q.items, 0, fresh)
}

// offer offers rumours in order. An offer that is accepted counts as sent; a rumour that was sent
// limit times is dropped.
func (q *updateQueue) offer(limit int, offer func(*update) bool) {
	for _, r := range q.items {
		if offer(r) {
			r.sent++
		}
	}
	q.items = slices.DeleteFunc(q.items, func(r *update) bool { return r.sent >= limit })
	slices.SortStableFunc(q.items, func(a, b *update) int { return a.sent - b.sent })
}

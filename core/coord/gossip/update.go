package gossip

import (
	"slices"

	"monsoonstep/core/state"
)

// update is an item that is still being spread (a rumour, in the literature): a member or a record, whichever is set.
type update struct {
	member state.InstanceID
	record state.Key
	// sent is how often the update was sent since the item last changed.
	sent int
}

// updateQueue holds the updates that are still being spread, the least sent first.
type updateQueue struct {
	// items is sorted by sent and has at most one update for each member and each record.
	items []*update
}

func (q *updateQueue) empty() bool { return len(q.items) == 0 }

// hasRecord reports whether a record is still being spread.
func (q *updateQueue) hasRecord() bool {
	return slices.ContainsFunc(q.items, func(u *update) bool { return u.record != "" })
}

func (q *updateQueue) addMember(id state.InstanceID) { q.add(&update{member: id}) }

func (q *updateQueue) addRecord(k state.Key) { q.add(&update{record: k}) }

// add puts an update first and replaces an earlier one of the same item.
func (q *updateQueue) add(added *update) {
	q.items = slices.DeleteFunc(q.items, func(u *update) bool {
		return u.member == added.member && u.record == added.record
	})
	q.items = slices.Insert(q.items, 0, added)
}

// offerEach calls accept for each update in order. Those for which it returns true count as sent; an update that
// was sent limit times is dropped.
func (q *updateQueue) offerEach(limit int, accept func(*update) bool) {
	for _, u := range q.items {
		if accept(u) {
			u.sent++
		}
	}
	q.items = slices.DeleteFunc(q.items, func(u *update) bool { return u.sent >= limit })
	slices.SortStableFunc(q.items, func(a, b *update) int { return a.sent - b.sent })
}

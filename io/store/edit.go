package store

import (
	"context"
	"time"

	"monsoonstep/io/group"

	"github.com/google/uuid"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Change returns the new value of a key, given its current record, which is the zero record if the key does not exist. The new
// value must contain the edit.
type Change func(current state.Record, edit state.Edit) ([]byte, error)

// EditOf returns the edit that a value contains, by which a writer recognises its own write.
type EditOf func(value []byte) state.Edit

const (
	// confirmInterval and maxConfirmTries are the pause between the tries to confirm a write, and their number.
	confirmInterval = 200 * time.Millisecond
	maxConfirmTries = 25
)

// Edit changes a key by compare-and-swap, as an edit by author. If the answer to the write is lost, Edit finds out whether the
// write took effect: if so, the key's value contains the edit's ID, or the next edit names it as its predecessor. An error of
// kind OutcomeUnknown means that Edit could not find out.
func (s *Store) Edit(ctx context.Context, key state.Key, author string, editOf EditOf, change Change) (state.Record, error) {
	current, found, err := s.Get(ctx, key)
	if err != nil {
		return state.Record{}, err
	}
	edit := state.Edit{ID: uuid.NewString(), At: state.Millis(time.Now().UnixMilli()), By: author}
	if found {
		edit.Before = editOf(current.Value).ID
	}
	value, err := change(current, edit)
	if err != nil {
		return state.Record{}, err
	}
	revision, err := s.CompareAndPut(ctx, key, current.Revision, value)
	if err == nil {
		return state.Record{Key: key, Revision: revision, Value: value}, nil
	}
	if errs.KindOf(err) != errs.StoreDown {
		return state.Record{}, err
	}
	return s.confirm(ctx, key, current.Revision, edit, value, editOf)
}

// confirm finds out whether a write whose answer was lost took effect. It repeats the write, which can take effect only once
// because each try expects the same revision, and reads the key when it is no longer at that revision.
func (s *Store) confirm(ctx context.Context, key state.Key, expected state.Revision, edit state.Edit, value []byte, editOf EditOf) (state.Record, error) {
	var last error
	for range maxConfirmTries {
		revision, err := s.CompareAndPut(ctx, key, expected, value)
		if err == nil {
			return state.Record{Key: key, Revision: revision, Value: value}, nil
		}
		last = err
		if errs.KindOf(err) == errs.Conflict {
			r, _, err := s.Get(ctx, key)
			if err == nil {
				return editOutcome(r, edit, editOf)
			}
			last = err
		}
		if !group.Sleep(ctx, confirmInterval) {
			break
		}
	}
	return state.Record{}, errs.Wrap(last, errs.OutcomeUnknown, "no answer says whether edit %s of key %q was written", edit.ID, key)
}

// editOutcome returns the key's current record r if it shows that an edit took effect. It returns an error of kind Conflict if
// r shows that the edit did not, and one of kind OutcomeUnknown if r shows neither.
func editOutcome(r state.Record, edit state.Edit, editOf EditOf) (state.Record, error) {
	latest := editOf(r.Value)
	switch {
	case latest.ID == edit.ID || latest.Before == edit.ID:
		return r, nil
	case latest.Before == edit.Before:
		return state.Record{}, errs.New(errs.Conflict, "edit not written: key %q was changed by edit %s of %q since it was read", r.Key, latest.ID, latest.By)
	default:
		return state.Record{}, errs.New(errs.OutcomeUnknown, "key %q was changed more than once since it was read; edit %s may be one of the changes", r.Key, edit.ID)
	}
}

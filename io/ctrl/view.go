// Package ctrl is the control part that balancers and agents have in common: it takes part in the
// membership, polls the platform, and publishes views of what is known.
//
// A view is immutable. Readers load it from an atomic pointer, so no packet and no request waits for
// control work.
package ctrl

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"monsoonstep/core/coord/dedup"
	"monsoonstep/core/coord/route"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

// View is what a node knows at one time. Nothing in it is changed after it was published.
type View struct {
	Self    state.Member
	Members []state.Member
	// agents holds the agents of each service, those that are gone included.
	agents map[state.ServiceName][]state.Member
	// DownSince holds when this node learnt that a member is gone, for members that are not present.
	DownSince map[state.InstanceID]state.Millis
	Entries   map[state.ServiceID]state.Entry
	// Authorities maps each host and port that callers use, as in "atelier.example:443", to its service.
	Authorities map[string]state.ServiceID
	Drained     map[state.InstanceName]bool
	Ring        state.Ring
	Keys        *keys.Set
	Table       *route.Table
	// Balancers are the flow addresses of the balancers that are thought to be running.
	Balancers []netip.AddrPort
	// IsBalancer holds the same addresses, for lookups.
	IsBalancer map[netip.AddrPort]bool
	Revision   state.Revision
}

// Service returns the entry of a service by name.
func (v *View) Service(name state.ServiceName) (state.Entry, bool) {
	e, ok := v.Entries[name.ID()]
	return e, ok
}

// Agents returns the agents of a service that are thought to be running, draining ones included.
func (v *View) Agents(name state.ServiceName) []state.Member {
	var running []state.Member
	for _, m := range v.agents[name] {
		if m.Present() {
			running = append(running, m)
		}
	}
	return running
}

// Agent returns the row of an agent of a service.
func (v *View) Agent(name state.ServiceName, id state.InstanceID) (state.Member, bool) {
	for _, m := range v.agents[name] {
		if m.ID == id {
			return m, true
		}
	}
	return state.Member{}, false
}

// KeyCandidates returns the processes that may own idempotency keys of a service.
func (v *View) KeyCandidates(name state.ServiceName) []dedup.Candidate {
	var found []dedup.Candidate
	for _, m := range v.agents[name] {
		gone := !m.Present()
		found = append(found, dedup.Candidate{
			ID:         m.ID,
			Present:    m.Present(),
			Left:       m.Health == state.HealthLeft || gone && v.Drained[m.ID.Name()],
			Since:      m.Since,
			AbsentFrom: m.AbsentFrom,
			AbsentTo:   m.AbsentTo,
			DownSince:  v.DownSince[m.ID],
		})
	}
	return found
}

// intent is the typed reading of a book. Where a record is bad, the last good one stays.
type intent struct {
	entries map[state.Key]state.Entry
	drained map[state.InstanceName]bool
	ring    state.Ring
	joins   []netip.AddrPort
	// version is the book's version that was read last.
	version uint64
	// seen holds the revision of each record that was read.
	seen map[state.Key]state.Revision
}

func newIntent() *intent {
	return &intent{
		entries: make(map[state.Key]state.Entry),
		drained: make(map[state.InstanceName]bool),
		seen:    make(map[state.Key]state.Revision),
	}
}

// read takes in what changed in a book and calls refuse for each record that is newly found bad.
func (in *intent) read(book *state.RecordSet, refuse func(state.Record, error)) {
	if book.Version() == in.version {
		return
	}
	in.version = book.Version()
	for _, r := range book.WithPrefix("") {
		if in.seen[r.Key] == r.Revision {
			continue
		}
		in.seen[r.Key] = r.Revision
		if err := in.readRecord(r); err != nil {
			refuse(r, err)
		}
	}
}

func (in *intent) readRecord(r state.Record) error {
	switch {
	case r.Key == state.RingKey:
		ring, err := wire.DecodeRing(r.Value)
		if err != nil {
			return err
		}
		in.ring = ring
	case r.Key == state.JoinsKey:
		joins, err := wire.DecodeJoins(r.Value)
		if err != nil {
			return err
		}
		in.joins = joins
	case r.Key.HasPrefix(state.DrainPrefix):
		drain, err := wire.DecodeDrain(r.Value)
		if err != nil {
			return err
		}
		in.drained[drain.Instance] = !drain.Edit.Deleted
	case r.Key.HasPrefix(state.EntryPrefix):
		return in.readEntry(r)
	}
	return nil
}

func (in *intent) readEntry(r state.Record) error {
	e, err := wire.DecodeEntry(r.Value)
	if err != nil {
		return err
	}
	if state.EntryKey(e.Service) != r.Key {
		return errs.New(errs.BadInput, "entry under key %q is of service %q", r.Key, e.Service)
	}
	in.entries[r.Key] = e
	return nil
}

// live returns the entries that are in force. Of two that claim one address or number, which only a race
// of operators past the command line's check can bring about, the one whose name sorts first counts on
// every node.
func (in *intent) live(refuse func(state.Entry, error)) map[state.ServiceID]state.Entry {
	live := make(map[state.ServiceID]state.Entry, len(in.entries))
	addresses := make(map[netip.AddrPort]state.ServiceName, len(in.entries))
	for _, key := range slices.Sorted(maps.Keys(in.entries)) {
		e := in.entries[key]
		if e.Edit.Deleted {
			continue
		}
		other, taken := addresses[e.Address]
		if !taken {
			if same, clash := live[e.Service.ID()]; clash {
				other, taken = same.Service, true
			}
		}
		if taken {
			refuse(e, errs.New(errs.Conflict, "service %q has the address or the number of service %q", e.Service, other))
			continue
		}
		addresses[e.Address] = e.Service
		live[e.Service.ID()] = e
	}
	return live
}

func authorities(entries map[state.ServiceID]state.Entry) map[string]state.ServiceID {
	found := make(map[string]state.ServiceID, len(entries))
	for id, e := range entries {
		found[e.Address.String()] = id
		for _, name := range e.Names {
			found[net.JoinHostPort(name, strconv.Itoa(int(e.Address.Port())))] = id
		}
	}
	return found
}

func millis(t time.Time) state.Millis { return state.Millis(t.UnixMilli()) }

// Describe returns a member as one short text, for logs.
func Describe(m state.Member) string {
	return fmt.Sprintf("%s %s (%s, %s, incarnation %d)", m.Role, m.ID, m.Health, m.Phase, m.Incarnation)
}

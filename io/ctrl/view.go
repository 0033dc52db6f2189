// Package ctrl is the control node that runs in every balancer and agent: it takes part in the gossip membership, polls the
// platform's key-value service, and publishes views of the known members and records.
//
// A view is immutable. Readers load it from an atomic pointer, so that no packet and no request waits for control work.
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

// View is an immutable snapshot of the members and records that a node knows.
type View struct {
	// Self is this node's own member.
	Self    state.Member
	Members []state.Member
	// agents has the agents of each service, including those that are no longer running.
	agents map[state.ServiceName][]state.Member
	// DownSince has the time at which this node noticed that a member is no longer running, for members that are not present.
	DownSince map[state.InstanceID]state.Millis
	// Entries has the catalogue entries that are in force.
	Entries map[state.ServiceID]state.Entry
	// Authorities maps each host and port that callers use, as in "atelier.example:443", to its service.
	Authorities map[string]state.ServiceID
	// Drained has the instances that an operator drains.
	Drained map[state.InstanceName]bool
	// Evacuated has the data centres that an operator evacuates.
	Evacuated map[state.DataCentre]bool
	// Ring is the key ring, and Keys has the keys that are derived for its generations.
	Ring state.Ring
	Keys *keys.Set
	// Table is the routing table of the agents.
	Table *route.Table
	// Balancers has the flow addresses of the present balancers.
	Balancers []netip.AddrPort
	// IsBalancer has the same addresses, as a set.
	IsBalancer map[netip.AddrPort]bool
	// Revision is the highest revision of the records.
	Revision state.Revision
}

// Service returns the entry of a service by name.
func (v *View) Service(name state.ServiceName) (state.Entry, bool) {
	e, ok := v.Entries[name.ID()]
	return e, ok
}

// Agents returns the present agents of a service, including draining ones.
func (v *View) Agents(name state.ServiceName) []state.Member {
	var running []state.Member
	for _, m := range v.agents[name] {
		if m.Present() {
			running = append(running, m)
		}
	}
	return running
}

// Agent returns the member with an ID among the agents of a service, whether it is present or not.
func (v *View) Agent(name state.ServiceName, id state.InstanceID) (state.Member, bool) {
	for _, m := range v.agents[name] {
		if m.ID == id {
			return m, true
		}
	}
	return state.Member{}, false
}

// KeyCandidates returns the processes that may own idempotency keys of a service: all its agents, including those that are
// no longer running. An agent that is down and whose instance an operator drains counts as left.
func (v *View) KeyCandidates(name state.ServiceName) []dedup.Candidate {
	var candidates []dedup.Candidate
	for _, m := range v.agents[name] {
		down := !m.Present()
		candidates = append(candidates, dedup.Candidate{
			ID:         m.ID,
			Present:    m.Present(),
			Left:       m.Health == state.HealthLeft || down && v.Drained[m.ID.Name()],
			Since:      m.Since,
			AbsentFrom: m.AbsentFrom,
			AbsentTo:   m.AbsentTo,
			DownSince:  v.DownSince[m.ID],
		})
	}
	return candidates
}

// fleetConfig holds the decoded records of the platform. If a record is invalid, the last valid one under its key stays.
type fleetConfig struct {
	// entries has the valid catalogue entries, including deleted ones, by record key.
	entries map[state.Key]state.Entry
	// drained is true for the instances that an operator drains, and false for those whose drain was deleted.
	drained map[state.InstanceName]bool
	// evacuations has the latest evacuation of each data centre, including deleted ones.
	evacuations map[state.DataCentre]evacuation
	ring        state.Ring
	// joins is the join list: the gossip addresses that a starting instance may contact, besides its seeds.
	joins []netip.AddrPort
	// recordSetVersion is the version of the record set at the last update.
	recordSetVersion uint64
	// revisions has the last revision of each record that was decoded, whether it was valid or not.
	revisions map[state.Key]state.Revision
}

func newFleetConfig() *fleetConfig {
	return &fleetConfig{
		entries:     make(map[state.Key]state.Entry),
		drained:     make(map[state.InstanceName]bool),
		evacuations: make(map[state.DataCentre]evacuation),
		revisions:   make(map[state.Key]state.Revision),
	}
}

// update decodes the records that changed since the last call and calls onInvalid for each of them that is invalid.
func (c *fleetConfig) update(set *state.RecordSet, onInvalid func(state.Record, error)) {
	if set.Version() == c.recordSetVersion {
		return
	}
	c.recordSetVersion = set.Version()
	for _, r := range set.WithPrefix("") {
		if c.revisions[r.Key] == r.Revision {
			continue
		}
		c.revisions[r.Key] = r.Revision
		if err := c.decodeRecord(r); err != nil {
			onInvalid(r, err)
		}
	}
}

func (c *fleetConfig) decodeRecord(r state.Record) error {
	switch {
	case r.Key == state.RingKey:
		ring, err := wire.DecodeRing(r.Value)
		if err != nil {
			return err
		}
		c.ring = ring
	case r.Key == state.JoinsKey:
		joins, err := wire.DecodeJoins(r.Value)
		if err != nil {
			return err
		}
		c.joins = joins
	case r.Key.HasPrefix(state.DrainPrefix):
		drain, err := wire.DecodeDrain(r.Value)
		if err != nil {
			return err
		}
		c.drained[drain.Instance] = !drain.Edit.Deleted
	case r.Key.HasPrefix(state.EvacuationPrefix):
		return c.decodeEvacuation(r)
	case r.Key.HasPrefix(state.EntryPrefix):
		return c.decodeEntry(r)
	}
	return nil
}

func (c *fleetConfig) decodeEntry(r state.Record) error {
	e, err := wire.DecodeEntry(r.Value)
	if err != nil {
		return err
	}
	if state.EntryKey(e.Service) != r.Key {
		return errs.New(errs.BadInput, "entry under key %q names service %q, which has another key", r.Key, e.Service)
	}
	c.entries[r.Key] = e
	return nil
}

// active returns the entries that are in force and calls onClash for each one that is not because another entry has the same
// address or service ID. Of two such entries, the one whose service name sorts first is in force, so that all nodes decide
// alike. The command line refuses to write a clashing entry, so clashes arise only if several operators write at the same time.
func (c *fleetConfig) active(onClash func(state.Entry, error)) map[state.ServiceID]state.Entry {
	active := make(map[state.ServiceID]state.Entry, len(c.entries))
	addresses := make(map[netip.AddrPort]state.ServiceName, len(c.entries))
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[key]
		if e.Edit.Deleted {
			continue
		}
		other, taken := addresses[e.Address]
		if !taken {
			if existing, clash := active[e.Service.ID()]; clash {
				other, taken = existing.Service, true
			}
		}
		if taken {
			onClash(e, errs.New(errs.Conflict, "service %q has the same address or service ID as service %q, which is in force", e.Service, other))
			continue
		}
		addresses[e.Address] = e.Service
		active[e.Service.ID()] = e
	}
	return active
}

// authorities maps each host and port by which callers address a service to the service's ID.
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

// Describe returns a one-line description of a member for logs.
func Describe(m state.Member) string {
	return fmt.Sprintf("%s %s (%s, %s, incarnation %d)", m.Role, m.ID, m.Health, m.Phase, m.Incarnation)
}

package ctrl

import (
	"net/netip"
	"time"

	"monsoonstep/core/coord/route"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// publish builds and publishes a new view.
func (n *Node) publish(now time.Time) error {
	n.intent.read(n.machine.RecordSet(), func(r state.Record, err error) {
		n.metrics.badRecords.Inc()
		n.log.Warn("a record of the catalogue is refused; the last good one stays", "key", r.Key, "revision", r.Revision, "err", errs.Text(err))
	})
	set, err := keys.New(n.settings.FleetKey, n.intent.ring, millis(now))
	if err != nil {
		return err
	}
	members := n.machine.Members()
	v := &View{
		Self:       n.machine.Self(),
		Members:    members,
		DownSince:  make(map[state.InstanceID]state.Millis),
		Entries:    n.intent.live(n.refuseEntry),
		Drained:    make(map[state.InstanceName]bool),
		IsBalancer: make(map[netip.AddrPort]bool),
		Ring:       n.intent.ring,
		Keys:       set,
		Table:      route.New(members, n.settings.Region),
		Revision:   n.machine.RecordSet().HighestRevision(),
	}
	v.Authorities = authorities(v.Entries)
	for name, drained := range n.intent.drained {
		if drained {
			v.Drained[name] = true
		}
	}
	v.agents = make(map[state.ServiceName][]state.Member)
	for _, m := range members {
		if m.Role == state.RoleAgent {
			v.agents[m.Service] = append(v.agents[m.Service], m)
		}
		if at, gone := n.machine.DownSince(m.ID); gone {
			v.DownSince[m.ID] = millis(at)
		}
		if m.Role == state.RoleBalancer && m.Present() {
			v.Balancers = append(v.Balancers, m.Flow)
			v.IsBalancer[m.Flow] = true
		}
	}
	n.logChanges(n.view.Load(), v)
	n.seen = n.machine.Version()
	n.newestKey = n.intent.ring.Newest(millis(now))
	n.view.Store(v)
	n.onView(v)
	return nil
}

// refuseEntry tells of an entry that clashes with another.
func (n *Node) refuseEntry(e state.Entry, err error) {
	if n.clashes[e.Service] == e.Edit.ID {
		return
	}
	n.clashes[e.Service] = e.Edit.ID
	n.metrics.badRecords.Inc()
	n.log.Warn("an entry of the catalogue is not in force", "service", e.Service, "err", errs.Text(err))
}

// logChanges tells which members came and went.
func (n *Node) logChanges(before, after *View) {
	if before == nil {
		return
	}
	known := make(map[state.InstanceID]state.Member, len(before.Members))
	for _, m := range before.Members {
		known[m.ID] = m
	}
	for _, m := range after.Members {
		old, ok := known[m.ID]
		if !ok || old.Health != m.Health || old.Phase != m.Phase {
			n.log.Info("a member changed", "member", Describe(m))
		}
	}
	if before.Revision != after.Revision {
		n.log.Info("the catalogue changed", "revision", after.Revision)
	}
}

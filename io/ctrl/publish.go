package ctrl

import (
	"net/netip"
	"time"

	"monsoonstep/core/coord/route"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// publish decodes the records that changed, builds a new view of the members and records, and publishes it.
func (n *Node) publish(now time.Time) error {
	n.fleetConfig.update(n.machine.RecordSet(), func(r state.Record, err error) {
		n.metrics.badRecords.Inc()
		n.log.Warn("record of the platform is invalid; the last valid one under this key stays in force", "key", r.Key, "revision", r.Revision, "err", errs.Text(err))
	})
	set, err := keys.New(n.settings.FleetKey, n.fleetConfig.ring, millis(now))
	if err != nil {
		return err
	}
	members := n.machine.Members()
	v := &View{
		Self:       n.machine.Self(),
		Members:    members,
		DownSince:  make(map[state.InstanceID]state.Millis),
		Entries:    n.fleetConfig.active(n.reportClash),
		Drained:    make(map[state.InstanceName]bool),
		IsBalancer: make(map[netip.AddrPort]bool),
		Ring:       n.fleetConfig.ring,
		Keys:       set,
		Revision:   n.machine.RecordSet().HighestRevision(),
	}
	v.Authorities = authorities(v.Entries)
	v.Evacuated = n.fleetConfig.evacuated()
	v.Table = route.New(members, n.settings.Region, route.WithEvacuated(v.Evacuated))
	for name, drained := range n.fleetConfig.drained {
		if drained {
			v.Drained[name] = true
		}
	}
	v.agents = make(map[state.ServiceName][]state.Member)
	for _, m := range members {
		if m.Role == state.RoleAgent {
			v.agents[m.Service] = append(v.agents[m.Service], m)
		}
		if at, down := n.machine.DownSince(m.ID); down {
			v.DownSince[m.ID] = millis(at)
		}
		if m.Role == state.RoleBalancer && m.Present() {
			v.Balancers = append(v.Balancers, m.Flow)
			v.IsBalancer[m.Flow] = true
		}
	}
	n.logChanges(n.view.Load(), v)
	n.publishedVersion = n.machine.Version()
	n.publishedGeneration = n.fleetConfig.ring.Newest(millis(now))
	n.view.Store(v)
	n.onView(v)
	return nil
}

// reportClash logs and counts an entry that is not in force because it clashes with another one, once for each edit.
func (n *Node) reportClash(e state.Entry, err error) {
	if n.reportedClashes[e.Service] == e.Edit.ID {
		return
	}
	n.reportedClashes[e.Service] = e.Edit.ID
	n.metrics.badRecords.Inc()
	n.log.Warn("catalogue entry is not in force: it clashes with another entry", "service", e.Service, "err", errs.Text(err))
}

// logChanges logs the members that are new or changed their health or phase, and a new revision of the records.
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
			n.log.Info("member is new or changed its health or phase", "member", Describe(m))
		}
	}
	n.reportEvacuations(before, after)
	if before.Revision != after.Revision {
		n.log.Info("records of the platform changed (catalogue, drains, evacuations, key ring or join list)", "revision", after.Revision)
	}
}

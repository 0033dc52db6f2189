package ctrl

import (
	"maps"
	"slices"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

// evacuation is a decoded evacuation with the revision of its record.
type evacuation struct {
	state.Evacuation
	revision state.Revision
}

// decodeEvacuation decodes the record of an evacuation.
func (c *fleetConfig) decodeEvacuation(r state.Record) error {
	e, err := wire.DecodeEvacuation(r.Value)
	if err != nil {
		return err
	}
	if state.EvacuationKey(e.DataCentre) != r.Key {
		return errs.New(errs.BadInput, "evacuation under key %q names data centre %q, which has another key", r.Key, e.DataCentre)
	}
	c.evacuations[e.DataCentre] = evacuation{Evacuation: e, revision: r.Revision}
	return nil
}

// evacuated returns the data centres that an operator evacuates.
func (c *fleetConfig) evacuated() map[state.DataCentre]bool {
	found := make(map[state.DataCentre]bool)
	for name, e := range c.evacuations {
		if !e.Edit.Deleted {
			found[name] = true
		}
	}
	return found
}

// reportEvacuations logs and counts the data centres that were evacuated, or taken into use again, since the view before.
func (n *Node) reportEvacuations(before, after *View) {
	for _, name := range slices.Sorted(maps.Keys(n.fleetConfig.evacuations)) {
		if before.Evacuated[name] == after.Evacuated[name] {
			continue
		}
		n.metrics.evacuationChanges.Inc()
		message := "data centre is in use again"
		if after.Evacuated[name] {
			message = "data centre is evacuated"
		}
		e := n.fleetConfig.evacuations[name]
		n.log.Info(message, "dataCentre", name, "revision", e.revision, "by", e.Edit.By)
	}
}

// AcceptsWork reports whether an agent may be sent new requests: it accepts work by its announcement, and no operator
// drains its instance or evacuates its data centre.
func (v *View) AcceptsWork(m state.Member) bool {
	return m.AcceptsWork() && !v.Drained[m.ID.Name()] && !v.Evacuated[m.DataCentre]
}

// AllEvacuated reports whether all present agents of a service are in evacuated data centres. It is false if there are none.
func (v *View) AllEvacuated(name state.ServiceName) bool {
	agents := v.Agents(name)
	outside := func(m state.Member) bool { return !v.Evacuated[m.DataCentre] }
	return len(agents) > 0 && !slices.ContainsFunc(agents, outside)
}

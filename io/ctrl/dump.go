package ctrl

import (
	"cmp"
	"slices"
	"time"

	"monsoonstep/io/admin"
)

// Dump is the control state of a process for operators, as JSON on the state page.
type Dump struct {
	Instance      string             `json:"instance"`
	Process       string             `json:"process"`
	Joined        bool               `json:"joined"`
	PausedTooLong bool               `json:"lapsed"`
	Revision      int64              `json:"catalogueRevision"`
	PolledAt      string             `json:"platformReadAt"`
	Generation    int                `json:"keyGeneration"`
	Services      []ServiceDump      `json:"services"`
	Drained       []string           `json:"drained"`
	Evacuated     []string           `json:"evacuated"`
	Members       []admin.MemberDump `json:"members"`
}

// ServiceDump is an active entry of the catalogue. Agents counts the agents that accept new flows, those of the node's own
// region only if there are any.
type ServiceDump struct {
	Service string `json:"service"`
	Owner   string `json:"owner"`
	Class   string `json:"class"`
	Address string `json:"address"`
	EditID  string `json:"editId"`
	Agents  int    `json:"agentsTakingFlows"`
}

// Dump returns the control state, with sorted lists.
func (n *Node) Dump() Dump {
	v := n.View()
	d := Dump{
		Instance:      string(n.settings.Instance),
		Process:       string(v.Self.ID),
		Joined:        n.Joined(),
		PausedTooLong: n.PausedTooLong(),
		Revision:      int64(v.Revision),
		Generation:    int(v.Keys.Newest().Number),
		Services:      []ServiceDump{},
		Drained:       []string{},
		Evacuated:     []string{},
		Members:       admin.DumpMembers(v.Members),
	}
	if at := n.lastPoll.Load(); at != 0 {
		d.PolledAt = time.UnixMilli(at).UTC().Format(time.RFC3339Nano)
	}
	for id, e := range v.Entries {
		d.Services = append(d.Services, ServiceDump{
			Service: string(e.Service),
			Owner:   e.Owner,
			Class:   e.Class.String(),
			Address: e.Address.String(),
			EditID:  e.Edit.ID,
			Agents:  v.Table.AcceptingAgents(id),
		})
	}
	for name := range v.Drained {
		d.Drained = append(d.Drained, string(name))
	}
	for name := range v.Evacuated {
		d.Evacuated = append(d.Evacuated, string(name))
	}
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return cmp.Compare(a.Service, b.Service) })
	slices.Sort(d.Drained)
	slices.Sort(d.Evacuated)
	return d
}

package admin

import (
	"cmp"
	"slices"

	"monsoonstep/core/state"
)

// MemberDump is one member of the fleet as the state page shows it.
type MemberDump struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	Service     string `json:"service,omitempty"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	Health      string `json:"health"`
	Phase       string `json:"phase"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots,omitempty"`
	Flow        string `json:"flowAddress"`
}

// dumpMember converts one member for the state page.
func dumpMember(m state.Member) MemberDump {
	return MemberDump{
		ID:          string(m.ID),
		Role:        m.Role.String(),
		Service:     string(m.Service),
		DataCentre:  string(m.DataCentre),
		Region:      string(m.Region),
		Health:      m.Health.String(),
		Phase:       m.Phase.String(),
		Incarnation: uint64(m.Incarnation),
		Slots:       m.Slots,
		Flow:        m.Flow.String(),
	}
}

// DumpMembers converts members for the state page, sorted by ID.
func DumpMembers(members []state.Member) []MemberDump {
	list := make([]MemberDump, 0, len(members))
	for _, m := range members {
		list = append(list, dumpMember(m))
	}
	slices.SortFunc(list, func(a, b MemberDump) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

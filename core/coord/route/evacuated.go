package route

import "monsoonstep/core/state"

// Option changes a setting of a new table.
type Option func(*Table)

// WithEvacuated sets the data centres that an operator evacuates. Their agents keep their open flows and get no new ones,
// unless no agent of the service outside these data centres is running: an agent must then refuse the callers' requests,
// because a balancer can't.
func WithEvacuated(dataCentres map[state.DataCentre]bool) Option {
	return func(t *Table) { t.evacuated = dataCentres }
}

// addPresent adds an agent that is assumed to be running. The first one outside the evacuated data centres replaces those
// inside.
func (s *service) addPresent(a Agent, outside bool) {
	if outside && !s.anyOutside {
		s.present, s.anyOutside = nil, true
	}
	if outside == s.anyOutside {
		s.present = append(s.present, a)
	}
}

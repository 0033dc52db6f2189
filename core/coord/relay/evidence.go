package relay

// Evidence is what a statement that a target holds a flow rests on. A greater value is stronger evidence.
type Evidence uint8

// The kinds of evidence.
const (
	// EvidenceNone means that there is no such statement.
	EvidenceNone Evidence = iota
	// EvidenceOffered means that the target was offered the flow and has not answered. Another target may have accepted a copy of the
	// opening packet.
	EvidenceOffered
	// EvidenceAssumed means that the target did not return a packet of the flow in time. A target that no longer runs returns none either.
	EvidenceAssumed
	// EvidenceConfirmed means that the target has sent a packet of the flow.
	EvidenceConfirmed
	evidenceCount
)

// String returns the evidence's name in logs. The names stay the same when a constant is renamed.
func (e Evidence) String() string {
	names := [evidenceCount]string{"none", "offered", "assumed", "confirmed"}
	return names[min(e, evidenceCount-1)]
}

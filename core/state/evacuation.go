package state

// EvacuationPrefix is the prefix of the keys of evacuations; see EvacuationKey.
const EvacuationPrefix = "evacuations/"

// EvacuationKey returns the key of a data centre's evacuation.
func EvacuationKey(name DataCentre) Key { return Key(EvacuationPrefix + string(name)) }

// Evacuation is an operator's intent that the targets in a data centre get no new flows and no new requests. Unlike those
// of a drained instance, the agents there keep running and keep their flows.
type Evacuation struct {
	DataCentre DataCentre
	Edit       Edit
}

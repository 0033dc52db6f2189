package wire

import (
	"encoding/json"
	"regexp"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// dataCentrePattern is the form that the settings of nodes require of a data centre's name. A record with any other name
// would match no node.
var dataCentrePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

type evacuationJSON struct {
	DataCentre string    `json:"dataCentre"`
	Edit       *editJSON `json:"edit"`
}

// EncodeEvacuation returns an evacuation as JSON. The error is of kind BadInput if the data centre's name is invalid.
func EncodeEvacuation(e state.Evacuation) ([]byte, error) {
	if err := checkDataCentre(string(e.DataCentre)); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(evacuationJSON{DataCentre: string(e.DataCentre), Edit: editToJSON(e.Edit)})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "evacuation of %q could not be encoded", e.DataCentre)
	}
	return raw, nil
}

// DecodeEvacuation decodes and checks an evacuation. The error is of kind BadInput.
func DecodeEvacuation(raw []byte) (state.Evacuation, error) {
	var j evacuationJSON
	if err := strictUnmarshal(raw, &j); err != nil {
		return state.Evacuation{}, err
	}
	return state.Evacuation{DataCentre: state.DataCentre(j.DataCentre), Edit: editFromJSON(j.Edit)}, checkDataCentre(j.DataCentre)
}

func checkDataCentre(name string) error {
	check := &checker{}
	check.require(dataCentrePattern.MatchString(name), "dataCentre", name, "a lower-case name of at most 40 letters, digits and dashes")
	return check.err("evacuation")
}

package wire

import (
	"encoding/json"

	"monsoonstep/core/state"
)

type editJSON struct {
	ID       string `json:"id"`
	Before   string `json:"before,omitempty"`
	AtMillis int64  `json:"atMillis"`
	By       string `json:"by,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// EditOf returns the edit in the JSON value of a record of any type, or an empty edit if the value is malformed.
func EditOf(raw []byte) state.Edit {
	var j struct {
		Edit *editJSON `json:"edit"`
	}
	if json.Unmarshal(raw, &j) != nil {
		return state.Edit{}
	}
	return editFromJSON(j.Edit)
}

func editToJSON(e state.Edit) *editJSON {
	return &editJSON{ID: e.ID, Before: e.Before, AtMillis: int64(e.At), By: e.By, Deleted: e.Deleted}
}

func editFromJSON(j *editJSON) state.Edit {
	if j == nil {
		return state.Edit{}
	}
	return state.Edit{ID: j.ID, Before: j.Before, At: state.Millis(j.AtMillis), By: j.By, Deleted: j.Deleted}
}

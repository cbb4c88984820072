package config

import (
	"bytes"
	"encoding/json"
	"slices"
)

// FieldChange is one field of an entity that two changes set differently.
type FieldChange struct {
	Field string `json:"field"`
	// From and To are the JSON values; nil where the field is not set.
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// Diff returns the fields that differ between two entities, by name. Either may be nil, which has no fields.
// Digests of keys are left out.
func Diff(from, to Entity) []FieldChange {
	before, after := fieldsOf(from), fieldsOf(to)
	var changes []FieldChange
	for field, value := range after {
		if !bytes.Equal(before[field], value) {
			changes = append(changes, FieldChange{Field: field, From: before[field], To: value})
		}
	}
	for field, value := range before {
		if _, kept := after[field]; !kept {
			changes = append(changes, FieldChange{Field: field, From: value})
		}
	}
	slices.SortFunc(changes, func(a, b FieldChange) int { return bytes.Compare([]byte(a.Field), []byte(b.Field)) })
	return changes
}

func fieldsOf(e Entity) map[string]json.RawMessage {
	if e == nil {
		return nil
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return nil
	}
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(raw, &fields) != nil {
		return nil
	}
	return fields
}

// Diff returns the fields in which the other change differs from the entity that was to be written.
func (e *ConflictError) Diff(mine Entity) []FieldChange {
	if e.CurrentNode == nil {
		return Diff(mine, nil)
	}
	return Diff(mine, e.CurrentNode.Entity)
}

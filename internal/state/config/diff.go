package config

import (
	"bytes"
	"encoding/json"
	"slices"
)

// FieldChange is a field whose value differs between two versions of an entity.
type FieldChange struct {
	Field string `json:"field"`
	// From and To are the JSON values; nil if the field is not set.
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// Diff returns the fields that differ between two entities, sorted by name. A nil entity has no fields. Key digests are not
// compared because they are not part of the JSON form.
func Diff(from, to Entity) []FieldChange {
	before, after := jsonFields(from), jsonFields(to)
	var changes []FieldChange
	for field, value := range after {
		if !bytes.Equal(before[field], value) {
			changes = append(changes, FieldChange{Field: field, From: before[field], To: value})
		}
	}
	for field, value := range before {
		if _, found := after[field]; !found {
			changes = append(changes, FieldChange{Field: field, From: value})
		}
	}
	slices.SortFunc(changes, func(a, b FieldChange) int { return bytes.Compare([]byte(a.Field), []byte(b.Field)) })
	return changes
}

func jsonFields(e Entity) map[string]json.RawMessage {
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

// Diff returns the fields in which the current entity of the path differs from mine, the one that was to be written.
func (e *ConflictError) Diff(mine Entity) []FieldChange {
	if e.CurrentNode == nil {
		return Diff(mine, nil)
	}
	return Diff(mine, e.CurrentNode.Entity)
}

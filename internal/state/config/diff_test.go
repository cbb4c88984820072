package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDiff(t *testing.T) {
	a := &Organisation{ID: "o", Team: "alder", Rate: 10, Burst: 100}
	b := &Organisation{ID: "o", Team: "alder", Rate: 30, Burst: 100, Disabled: true}
	require.Empty(t, Diff(a, a))
	require.Equal(t, []FieldChange{
		{Field: "disabled", From: json.RawMessage("false"), To: json.RawMessage("true")},
		{Field: "rateTokensPerSecond", From: json.RawMessage("10"), To: json.RawMessage("30")},
	}, Diff(a, b))
	require.Len(t, Diff(nil, a), 5)
	require.Len(t, Diff(a, nil), 5)

	conflict := &ConflictError{CurrentNode: &Node{Entity: b}}
	require.Equal(t, Diff(a, b), conflict.Diff(a))
	deleted := &ConflictError{CurrentNode: &Node{}}
	require.Equal(t, Diff(a, nil), deleted.Diff(a))
	require.Equal(t, Diff(a, nil), (&ConflictError{}).Diff(a))
}

func TestDiffOmitsUnsetOptionalFields(t *testing.T) {
	a := &Route{ID: "r", Model: "m"}
	b := &Route{ID: "r"}
	require.Equal(t, []FieldChange{{Field: "model", From: json.RawMessage(`"m"`)}}, Diff(a, b))
}

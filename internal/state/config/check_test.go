package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// apply writes the entities at the offsets after the state's and fails the test on any error.
func apply(t *testing.T, s *State, entities ...Entity) *State {
	t.Helper()
	for _, e := range entities {
		id := ident.RecordID("r" + string(PathOf(e))[max(0, len(PathOf(e))-40):])
		next, err := s.Apply(s.Offset()+1, NewRecord(id, "operator", s.Revision(PathOf(e)), e))
		require.NoError(t, err)
		s = next
	}
	return s
}

// populatedState returns a state with entities of all kinds but operators and settings.
func populatedState(t *testing.T) *State {
	t.Helper()
	return apply(t, NewState(),
		&Version{ID: "v1", Model: "m", Weights: "w1"},
		&Version{ID: "v2", Model: "m", Weights: "w2"},
		&Model{ID: "m", CurrentVersion: "v1", BlockTokens: 1024},
		&Upstream{ID: "e1", Kind: UpstreamEngine, Model: "m", BaseURL: "http://127.0.0.1:1"},
		&Upstream{ID: "p1", Kind: UpstreamPlain, BaseURL: "http://127.0.0.1:2"},
		&Route{ID: "chat", Team: "alder", Kind: RouteModel, Model: "m", OnKeyWithdrawal: WithdrawalCut},
		&Organisation{ID: "survey", Team: "alder", Rate: 10, Burst: 100},
		&Key{ID: "k1", Team: "alder", Organisation: "survey", Digest: ident.DigestOf("1"), Withdrawn: true},
		&Member{ID: "d1", Incarnation: 5, State: MemberRemoved},
		&Move{ID: "mv", Team: "alder", Model: "m", From: "v1", To: "v2", State: MoveRunning},
	)
}

func TestValidateReportsReason(t *testing.T) {
	s := populatedState(t)
	for reason, e := range map[string]Entity{
		"an id or a part of the path is empty": &Organisation{Team: "alder", Rate: 1, Burst: 1},
		"an id holds a space":                  &Organisation{ID: "a b", Team: "alder", Rate: 1, Burst: 1},
		"an id is longer":                      &Organisation{ID: ident.OrganisationID(strings.Repeat("a", 200)), Team: "alder", Rate: 1, Burst: 1},
		"rateTokensPerSecond":                  &Organisation{ID: "o", Team: "alder", Burst: 1},
		"burstTokens":                          &Organisation{ID: "o", Team: "alder", Rate: 1},
		"is taken by /teams/alder":             &Organisation{ID: "survey", Team: "birch", Rate: 1, Burst: 1},
		"its organisation does not exist":      &Key{ID: "k2", Team: "birch", Organisation: "survey", Digest: ident.DigestOf("2")},
		"can't be given again":                 &Key{ID: "k1", Team: "alder", Organisation: "survey", Digest: ident.DigestOf("1")},
		"neither model nor plain":              &Route{ID: "r", Team: "alder", Kind: "tcp", OnKeyWithdrawal: WithdrawalCut},
		"neither finish nor cut":               &Route{ID: "r", Team: "alder", Kind: RouteModel, Model: "m"},
		"its model does not exist":             &Route{ID: "r", Team: "alder", Kind: RouteModel, Model: "n", OnKeyWithdrawal: WithdrawalCut},
		"is no plain upstream":                 &Route{ID: "r", Team: "alder", Kind: RoutePlain, PathPrefix: "/x", Upstreams: []ident.UpstreamID{"e1"}, OnKeyWithdrawal: WithdrawalCut},
		"is no HTTP method":                    &Route{ID: "r", Team: "alder", Kind: RoutePlain, PathPrefix: "/x", Upstreams: []ident.UpstreamID{"p1"}, IdempotentMethods: []string{"LOOK"}, OnKeyWithdrawal: WithdrawalCut},
		"no http or https URL":                 &Upstream{ID: "u", Kind: UpstreamPlain, BaseURL: "ftp://x"},
		"names no model":                       &Upstream{ID: "u", Kind: UpstreamEngine, BaseURL: "http://127.0.0.1:1"},
		"blockTokens":                          &Model{ID: "n"},
		"its current version does not exist":   &Model{ID: "m", CurrentVersion: "v3", BlockTokens: 1},
		"weights":                              &Version{ID: "v3", Model: "m"},
		"the value is not JSON":                &Setting{Path: "/platform/settings/a", Value: "{"},
		"settings live under":                  &Setting{Path: "/teams/alder/routes/chat", Value: "1"},
		"is older than 5":                      &Member{ID: "d1", Incarnation: 4, State: MemberRemoved},
		"only with a new incarnation":          &Member{ID: "d1", Incarnation: 5, State: MemberJoined},
		"is none of joined":                    &Member{ID: "d2", Incarnation: 5, State: "asleep"},
		"from and to are the same":             &Move{ID: "x", Team: "alder", Model: "m", From: "v1", To: "v1", State: MoveRunning},
		"another move of the model":            &Move{ID: "x", Team: "alder", Model: "m", From: "v1", To: "v2", Routes: []ident.RouteID{"chat"}, State: MoveRunning},
		"a version does not exist":             &Move{ID: "x", Team: "alder", Model: "m", From: "v1", To: "v9", State: MoveRunning},
		"none of viewer, editor and admin":     &Operator{ID: "o", Grants: []RoleGrant{{Subtree: "/", Role: "root"}}},
	} {
		var invalid *InvalidError
		require.ErrorAs(t, s.Validate(e), &invalid, reason)
		require.Contains(t, invalid.Reason, reason)
	}
}

// An entity that others refer to must not be deleted: the referring entities would become invalid.
func TestDeletionRejectedWhileReferenced(t *testing.T) {
	s := populatedState(t)
	for path, referrer := range map[ident.Path]string{
		"/teams/alder/organisations/survey": "/teams/alder/keys/k1",
		"/platform/models/m":                "/teams/alder/routes/chat",
		"/platform/versions/m/v1":           "/platform/models/m",
	} {
		_, err := s.Apply(s.Offset()+1, NewDeletion("d", "operator", s.Revision(path), path))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Contains(t, invalid.Reason, referrer)
	}
}

// A done move of single routes determines which version serves them. While it does, or while a later move starts from its
// result, neither the move nor the serving version may be deleted: the routes would fall back to another version.
func TestDeletionRejectedWhileServing(t *testing.T) {
	s := apply(t, populatedState(t),
		&Version{ID: "v3", Model: "m", Weights: "w3"},
		&Move{ID: "mv", Team: "alder", Model: "m", From: "v1", To: "v2", State: MoveTakenBack},
		&Move{ID: "one", Team: "alder", Model: "m", From: "v1", To: "v2", Routes: []ident.RouteID{"chat"}, State: MoveDone},
	)
	requireRejected := func(s *State, path ident.Path) {
		t.Helper()
		_, err := s.Apply(s.Offset()+1, NewDeletion("d", "operator", s.Revision(path), path))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, path)
		require.Contains(t, invalid.Reason, "/teams/alder/routes/chat", path)
	}
	requireRejected(s, "/platform/versions/m/v2")
	requireRejected(s, "/teams/alder/moves/one")

	s = apply(t, s, &Move{ID: "two", Team: "alder", Model: "m", From: "v2", To: "v3", Routes: []ident.RouteID{"chat"}, State: MoveDone})
	requireRejected(s, "/platform/versions/m/v3")
	requireRejected(s, "/teams/alder/moves/two")
	requireRejected(s, "/teams/alder/moves/one")
	for _, path := range []ident.Path{"/platform/versions/m/v2", "/teams/alder/moves/mv"} {
		next, err := s.Apply(s.Offset()+1, NewDeletion("d", "operator", s.Revision(path), path))
		require.NoError(t, err, path)
		s = next
	}
}

// Of two changes based on the same revision the first wins; the second fails and learns what the first one wrote.
func TestConflictReturnsTheWinningChange(t *testing.T) {
	s := populatedState(t)
	mine := &Organisation{ID: "survey", Team: "alder", Rate: 20, Burst: 100}
	path := PathOf(mine)
	base := s.Revision(path)
	theirs := &Organisation{ID: "survey", Team: "alder", Rate: 30, Burst: 100}
	s, err := s.Apply(s.Offset()+1, NewRecord("theirs", "auditor", base, theirs))
	require.NoError(t, err)

	next, err := s.Apply(s.Offset()+1, NewRecord("mine", "operator", base, mine))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "auditor", conflict.CurrentNode.Author)
	require.Equal(t, theirs, conflict.CurrentNode.Entity)
	require.Equal(t, theirs, next.Entity(path))
}

// A record that creates an entity can be appended twice. If the duplicate follows the deletion, it must not create the
// entity again: the tombstone keeps the revision with which the duplicate conflicts.
func TestDelayedDuplicateOfCreationDoesNotUndoDeletion(t *testing.T) {
	s := populatedState(t)
	setting := &Setting{Path: "/platform/settings/a", Value: "1"}
	create := NewRecord("create", "operator", 0, setting)
	s, err := s.Apply(s.Offset()+1, create)
	require.NoError(t, err)
	s, err = s.Apply(s.Offset()+1, NewDeletion("delete", "operator", s.Offset(), setting.Path))
	require.NoError(t, err)

	s, err = s.Apply(s.Offset()+1, create)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Nil(t, s.Entity(setting.Path))
}

func TestOperatorRoles(t *testing.T) {
	op := &Operator{Grants: []RoleGrant{
		{Subtree: "/teams/alder", Role: RoleEditor},
		{Subtree: "/", Role: RoleViewer},
	}}
	for _, c := range []struct {
		role Role
		path ident.Path
		want bool
	}{
		{RoleEditor, "/teams/alder/routes/chat", true},
		{RoleEditor, "/teams/alder", true},
		{RoleEditor, "/teams/alders/routes/chat", false},
		{RoleAdmin, "/teams/alder/routes/chat", false},
		{RoleViewer, "/platform/models/m", true},
		{RoleEditor, "/platform/models/m", false},
		{"root", "/teams/alder/routes/chat", false},
	} {
		require.Equal(t, c.want, op.HasRole(c.role, c.path), "%s %s", c.role, c.path)
	}
	require.False(t, op.CanGrant([]RoleGrant{{Subtree: "/teams/alder", Role: RoleEditor}}))
}

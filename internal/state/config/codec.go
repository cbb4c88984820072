package config

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// EntityFromRecord returns the entity that a record carries. The error is an *InvalidError if the record carries none, a key
// digest has the wrong length or the record's path is not that of the entity.
func EntityFromRecord(rec *wire.Record) (Entity, error) {
	path := ident.Path(rec.GetPath())
	e, err := decodeEntity(path, rec)
	if err != nil {
		return nil, err
	}
	if entityPath := PathOf(e); entityPath != path {
		return nil, &InvalidError{Path: path, Reason: "the entity belongs at " + string(entityPath)}
	}
	return e, nil
}

func decodeEntity(path ident.Path, rec *wire.Record) (Entity, error) {
	switch w := rec.GetEntity().(type) {
	case *wire.Record_Operator:
		return decodeOperator(path, w.Operator)
	case *wire.Record_Organisation:
		return decodeOrganisation(w.Organisation), nil
	case *wire.Record_Key:
		return decodeKey(path, w.Key)
	case *wire.Record_Route:
		return decodeRoute(w.Route), nil
	case *wire.Record_Upstream:
		return decodeUpstream(w.Upstream), nil
	case *wire.Record_Model:
		return &Model{
			ID:             ident.ModelID(w.Model.GetModelId()),
			CurrentVersion: ident.VersionID(w.Model.GetCurrentVersion()),
			BlockTokens:    ident.Tokens(w.Model.GetBlockTokens()),
		}, nil
	case *wire.Record_Version:
		return &Version{
			ID:      ident.VersionID(w.Version.GetVersionId()),
			Model:   ident.ModelID(w.Version.GetModel()),
			Weights: w.Version.GetWeights(),
		}, nil
	case *wire.Record_Setting:
		return &Setting{Path: path, Value: w.Setting.GetValueJson()}, nil
	case *wire.Record_Member:
		return decodeMember(w.Member), nil
	case *wire.Record_Move:
		return decodeMove(w.Move), nil
	default:
		return nil, &InvalidError{Path: path, Reason: "the record carries no entity"}
	}
}

func decodeOperator(path ident.Path, w *wire.Operator) (Entity, error) {
	digest, err := decodeDigest(path, w.GetKeyDigest())
	if err != nil {
		return nil, err
	}
	grants := make([]RoleGrant, 0, len(w.GetGrants()))
	for _, g := range w.GetGrants() {
		grants = append(grants, RoleGrant{Subtree: ident.Path(g.GetSubtree()), Role: Role(g.GetRole())})
	}
	return &Operator{ID: ident.OperatorID(w.GetOperatorId()), KeyDigest: digest, Grants: grants}, nil
}

func decodeOrganisation(w *wire.Organisation) *Organisation {
	return &Organisation{
		ID:       ident.OrganisationID(w.GetOrganisationId()),
		Team:     ident.TeamID(w.GetTeam()),
		Rate:     ident.TokensPerSecond(w.GetRateTokensPerSecond()),
		Burst:    ident.Tokens(w.GetBurstTokens()),
		Disabled: w.GetDisabled(),
	}
}

func decodeKey(path ident.Path, w *wire.Key) (Entity, error) {
	digest, err := decodeDigest(path, w.GetKeyDigest())
	if err != nil {
		return nil, err
	}
	return &Key{
		ID:           ident.KeyID(w.GetKeyId()),
		Team:         ident.TeamID(w.GetTeam()),
		Organisation: ident.OrganisationID(w.GetOrganisationId()),
		Digest:       digest,
		Withdrawn:    w.GetWithdrawn(),
	}, nil
}

func decodeDigest(path ident.Path, raw []byte) (ident.Digest, error) {
	var digest ident.Digest
	if len(raw) != len(digest) {
		return digest, &InvalidError{Path: path, Reason: "the key digest is not 32 bytes long"}
	}
	copy(digest[:], raw)
	return digest, nil
}

func decodeRoute(w *wire.Route) *Route {
	return &Route{
		ID:                ident.RouteID(w.GetRouteId()),
		Team:              ident.TeamID(w.GetTeam()),
		Kind:              RouteKind(w.GetKind()),
		Model:             ident.ModelID(w.GetModel()),
		PathPrefix:        w.GetPathPrefix(),
		Upstreams:         decodeIDs[ident.UpstreamID](w.GetUpstreamIds()),
		Open:              w.GetOpen(),
		IdempotentMethods: w.GetIdempotentMethods(),
		OnKeyWithdrawal:   WithdrawalAction(w.GetOnKeyWithdrawal()),
		Timeout:           time.Duration(w.GetTimeoutMs()) * time.Millisecond,
	}
}

func decodeUpstream(w *wire.Upstream) *Upstream {
	return &Upstream{
		ID:             ident.UpstreamID(w.GetUpstreamId()),
		Kind:           UpstreamKind(w.GetKind()),
		BaseURL:        w.GetBaseUrl(),
		FailureDomain:  ident.FailureDomain(w.GetFailureDomain()),
		Model:          ident.ModelID(w.GetModel()),
		Leaving:        w.GetLeaving(),
		ChecksFencing:  w.GetChecksFencing(),
		ChecksIdentity: w.GetChecksIdentity(),
	}
}

func decodeMember(w *wire.Member) *Member {
	return &Member{
		ID:            ident.DaemonID(w.GetDaemonId()),
		Incarnation:   ident.Incarnation(w.GetIncarnation()),
		CallerAddress: w.GetCallerAddress(),
		PeerAddress:   w.GetPeerAddress(),
		AdminAddress:  w.GetAdminAddress(),
		FailureDomain: ident.FailureDomain(w.GetFailureDomain()),
		State:         MemberState(w.GetState()),
	}
}

func decodeMove(w *wire.Move) *Move {
	return &Move{
		ID:         ident.MoveID(w.GetMoveId()),
		Team:       ident.TeamID(w.GetTeam()),
		Model:      ident.ModelID(w.GetModel()),
		From:       ident.VersionID(w.GetFromVersion()),
		To:         ident.VersionID(w.GetToVersion()),
		Routes:     decodeIDs[ident.RouteID](w.GetRouteIds()),
		Deadline:   time.UnixMilli(w.GetDeadlineUnixMs()),
		State:      MoveState(w.GetState()),
		Step:       int(w.GetStep()),
		Share:      ident.Permille(w.GetSharePermille()),
		Reason:     w.GetReason(),
		Owner:      ident.DaemonID(w.GetOwner()),
		OwnerEpoch: ident.Offset(w.GetOwnerEpoch()),
		StateSince: time.UnixMilli(w.GetStateSinceUnixMs()),
	}
}

func decodeIDs[ID ~string](raw []string) []ID {
	ids := make([]ID, 0, len(raw))
	for _, id := range raw {
		ids = append(ids, ID(id))
	}
	return ids
}

func encodeIDs[ID ~string](ids []ID) []string {
	raw := make([]string, 0, len(ids))
	for _, id := range ids {
		raw = append(raw, string(id))
	}
	return raw
}

// NewRecord returns a record that sets the entity at its path if the path is still at revision base.
func NewRecord(id ident.RecordID, author string, base ident.Offset, e Entity) *wire.Record {
	rec := &wire.Record{
		RecordId:      string(id),
		Author:        author,
		CreatedUnixMs: time.Now().UnixMilli(),
		Path:          string(PathOf(e)),
		BaseRevision:  uint64(base),
	}
	encodeEntity(rec, e)
	return rec
}

// NewDeletion returns a record that deletes the entity at the path if the path is still at revision base.
func NewDeletion(id ident.RecordID, author string, base ident.Offset, path ident.Path) *wire.Record {
	return &wire.Record{
		RecordId:      string(id),
		Author:        author,
		CreatedUnixMs: time.Now().UnixMilli(),
		Path:          string(path),
		BaseRevision:  uint64(base),
		Deleted:       true,
	}
}

func encodeEntity(rec *wire.Record, e Entity) {
	switch e := e.(type) {
	case *Operator:
		rec.Entity = &wire.Record_Operator{Operator: encodeOperator(e)}
	case *Organisation:
		rec.Entity = &wire.Record_Organisation{Organisation: &wire.Organisation{
			OrganisationId:      string(e.ID),
			Team:                string(e.Team),
			RateTokensPerSecond: int64(e.Rate),
			BurstTokens:         int64(e.Burst),
			Disabled:            e.Disabled,
		}}
	case *Key:
		rec.Entity = &wire.Record_Key{Key: &wire.Key{
			KeyId:          string(e.ID),
			Team:           string(e.Team),
			OrganisationId: string(e.Organisation),
			KeyDigest:      e.Digest[:],
			Withdrawn:      e.Withdrawn,
		}}
	case *Route:
		rec.Entity = &wire.Record_Route{Route: encodeRoute(e)}
	case *Upstream:
		rec.Entity = &wire.Record_Upstream{Upstream: encodeUpstream(e)}
	case *Model:
		rec.Entity = &wire.Record_Model{Model: &wire.Model{
			ModelId:        string(e.ID),
			CurrentVersion: string(e.CurrentVersion),
			BlockTokens:    int32(e.BlockTokens),
		}}
	case *Version:
		rec.Entity = &wire.Record_Version{Version: &wire.Version{
			VersionId: string(e.ID),
			Model:     string(e.Model),
			Weights:   e.Weights,
		}}
	case *Setting:
		rec.Entity = &wire.Record_Setting{Setting: &wire.Setting{ValueJson: e.Value}}
	case *Member:
		rec.Entity = &wire.Record_Member{Member: encodeMember(e)}
	case *Move:
		rec.Entity = &wire.Record_Move{Move: encodeMove(e)}
	}
}

func encodeOperator(e *Operator) *wire.Operator {
	grants := make([]*wire.RoleGrant, 0, len(e.Grants))
	for _, g := range e.Grants {
		grants = append(grants, &wire.RoleGrant{Subtree: string(g.Subtree), Role: string(g.Role)})
	}
	return &wire.Operator{OperatorId: string(e.ID), KeyDigest: e.KeyDigest[:], Grants: grants}
}

func encodeRoute(e *Route) *wire.Route {
	return &wire.Route{
		RouteId:           string(e.ID),
		Team:              string(e.Team),
		Kind:              string(e.Kind),
		Model:             string(e.Model),
		PathPrefix:        e.PathPrefix,
		UpstreamIds:       encodeIDs(e.Upstreams),
		Open:              e.Open,
		IdempotentMethods: e.IdempotentMethods,
		OnKeyWithdrawal:   string(e.OnKeyWithdrawal),
		TimeoutMs:         e.Timeout.Milliseconds(),
	}
}

func encodeUpstream(e *Upstream) *wire.Upstream {
	return &wire.Upstream{
		UpstreamId:     string(e.ID),
		Kind:           string(e.Kind),
		BaseUrl:        e.BaseURL,
		FailureDomain:  string(e.FailureDomain),
		Model:          string(e.Model),
		Leaving:        e.Leaving,
		ChecksFencing:  e.ChecksFencing,
		ChecksIdentity: e.ChecksIdentity,
	}
}

func encodeMember(e *Member) *wire.Member {
	return &wire.Member{
		DaemonId:      string(e.ID),
		Incarnation:   uint64(e.Incarnation),
		CallerAddress: e.CallerAddress,
		PeerAddress:   e.PeerAddress,
		AdminAddress:  e.AdminAddress,
		FailureDomain: string(e.FailureDomain),
		State:         string(e.State),
	}
}

func encodeMove(e *Move) *wire.Move {
	return &wire.Move{
		MoveId:           string(e.ID),
		Team:             string(e.Team),
		Model:            string(e.Model),
		FromVersion:      string(e.From),
		ToVersion:        string(e.To),
		RouteIds:         encodeIDs(e.Routes),
		DeadlineUnixMs:   e.Deadline.UnixMilli(),
		State:            string(e.State),
		Step:             int32(e.Step),
		SharePermille:    int32(e.Share),
		Reason:           e.Reason,
		OwnerEpoch:       uint64(e.OwnerEpoch),
		Owner:            string(e.Owner),
		StateSinceUnixMs: e.StateSince.UnixMilli(),
	}
}

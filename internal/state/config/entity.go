// Package config holds the replicated configuration: the entities that operators and daemons write as records
// of the control stream, and the immutable state that a replay of the stream yields.
package config

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Entity is anything that lives at a path of the configuration tree.
// The set of entities is closed; code that varies by entity switches over the type.
type Entity interface {
	isEntity()
}

// Role is what an operator may do in a subtree.
type Role string

// Roles, each including the ones before it.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
	RoleAdmin  Role = "admin"
)

// RoleGrant gives a role on a subtree of paths; "/" is the whole tree.
type RoleGrant struct {
	Subtree ident.Path `json:"subtree"`
	Role    Role       `json:"role"`
}

// Operator is a person or tool that may use the administration API.
type Operator struct {
	ID        ident.OperatorID `json:"id"`
	KeyDigest ident.Digest     `json:"-"`
	Grants    []RoleGrant      `json:"grants"`
}

// Organisation is a customer with a rate and burst over all daemons together.
type Organisation struct {
	ID       ident.OrganisationID  `json:"id"`
	Team     ident.TeamID          `json:"team"`
	Rate     ident.TokensPerSecond `json:"rateTokensPerSecond"`
	Burst    ident.Tokens          `json:"burstTokens"`
	Disabled bool                  `json:"disabled"`
}

// Key is a caller's bearer key, known only by its digest.
type Key struct {
	ID           ident.KeyID          `json:"id"`
	Team         ident.TeamID         `json:"team"`
	Organisation ident.OrganisationID `json:"organisation"`
	Digest       ident.Digest         `json:"-"`
	Withdrawn    bool                 `json:"withdrawn"`
}

// RouteKind tells what serves a route.
type RouteKind string

// Kinds of routes.
const (
	RouteModel RouteKind = "model"
	RoutePlain RouteKind = "plain"
)

// WithdrawalAction is what happens to the running streams of a withdrawn key.
type WithdrawalAction string

// Actions on the withdrawal of a key.
const (
	WithdrawalFinish WithdrawalAction = "finish"
	WithdrawalCut    WithdrawalAction = "cut"
)

// Route leads requests to the engines of a model or to plain services.
type Route struct {
	ID                ident.RouteID      `json:"id"`
	Team              ident.TeamID       `json:"team"`
	Kind              RouteKind          `json:"kind"`
	Model             ident.ModelID      `json:"model,omitempty"`
	PathPrefix        string             `json:"pathPrefix,omitempty"`
	Upstreams         []ident.UpstreamID `json:"upstreams,omitempty"`
	Open              bool               `json:"open"`
	IdempotentMethods []string           `json:"idempotentMethods,omitempty"`
	OnKeyWithdrawal   WithdrawalAction   `json:"onKeyWithdrawal"`
	// Timeout bounds one request; 0 leaves it to the daemon.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// UpstreamKind tells what an upstream is.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamKVStore UpstreamKind = "kvStore"
	UpstreamPlain   UpstreamKind = "plain"
)

// Upstream is an engine, the KV cache store or a plain service.
type Upstream struct {
	ID             ident.UpstreamID    `json:"id"`
	Kind           UpstreamKind        `json:"kind"`
	BaseURL        string              `json:"baseUrl"`
	FailureDomain  ident.FailureDomain `json:"failureDomain"`
	Model          ident.ModelID       `json:"model,omitempty"`
	Leaving        bool                `json:"leaving"`
	ChecksFencing  bool                `json:"checksFencing"`
	ChecksIdentity bool                `json:"checksIdentity"`
}

// Model is a language model with its serving version.
type Model struct {
	ID             ident.ModelID   `json:"id"`
	CurrentVersion ident.VersionID `json:"currentVersion"`
	BlockTokens    ident.Tokens    `json:"blockTokens"`
}

// Version is a version of a model's weights.
type Version struct {
	ID      ident.VersionID `json:"id"`
	Model   ident.ModelID   `json:"model"`
	Weights string          `json:"weights"`
}

// Setting is a JSON value at a path below a team's or the platform's settings.
type Setting struct {
	Path  ident.Path `json:"path"`
	Value string     `json:"value"`
}

// MemberState is the stage of a daemon's life in the fleet.
type MemberState string

// States of a member.
const (
	MemberJoined  MemberState = "joined"
	MemberLeaving MemberState = "leaving"
	MemberRemoved MemberState = "removed"
	// MemberDead is a removed daemon of which an operator vouches that its VM no longer runs.
	MemberDead MemberState = "dead"
)

// Active reports whether the daemon takes part in the fleet.
func (s MemberState) Active() bool {
	return s == MemberJoined || s == MemberLeaving
}

// Member is a daemon as the control stream knows it.
type Member struct {
	ID            ident.DaemonID      `json:"id"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	CallerAddress string              `json:"callerAddress"`
	PeerAddress   string              `json:"peerAddress"`
	AdminAddress  string              `json:"adminAddress"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	State         MemberState         `json:"state"`
}

// MoveState is the stage of a move.
type MoveState string

// States of a move.
const (
	MoveRunning   MoveState = "running"
	MovePaused    MoveState = "paused"
	MoveSoaking   MoveState = "soaking"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "takenBack"
)

// Ended reports whether the move has reached a final state.
func (s MoveState) Ended() bool {
	return s == MoveDone || s == MoveTakenBack
}

// Move shifts the traffic of routes from one version of a model to another by a deadline.
type Move struct {
	ID         ident.MoveID    `json:"id"`
	Team       ident.TeamID    `json:"team"`
	Model      ident.ModelID   `json:"model"`
	From       ident.VersionID `json:"from"`
	To         ident.VersionID `json:"to"`
	Routes     []ident.RouteID `json:"routes"`
	Deadline   time.Time       `json:"deadline"`
	State      MoveState       `json:"state"`
	Step       int             `json:"step"`
	Share      ident.Permille  `json:"sharePermille"`
	Reason     string          `json:"reason"`
	Owner      ident.DaemonID  `json:"owner"`
	OwnerEpoch ident.Offset    `json:"ownerEpoch"`
	StateSince time.Time       `json:"stateSince"`
}

func (*Operator) isEntity()     {}
func (*Organisation) isEntity() {}
func (*Key) isEntity()          {}
func (*Route) isEntity()        {}
func (*Upstream) isEntity()     {}
func (*Model) isEntity()        {}
func (*Version) isEntity()      {}
func (*Setting) isEntity()      {}
func (*Member) isEntity()       {}
func (*Move) isEntity()         {}

// Package config computes the replicated configuration. It defines the entities that operators and daemons write as
// records of the control stream, decides which records are valid, and builds immutable states from a replay of the stream
// or from a checkpoint.
package config

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Entity is an object stored at a path of the configuration tree. The set of implementations is closed; code that depends
// on the kind of entity uses a type switch.
type Entity interface {
	isEntity()
}

// Role is the set of rights that an operator has in a subtree.
type Role string

// Roles; each includes the rights of the ones before it.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
	RoleAdmin  Role = "admin"
)

// RoleGrant gives an operator a role on a subtree of paths; "/" is the whole tree.
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

// Organisation is a customer with a rate limit that applies to all daemons together.
type Organisation struct {
	ID       ident.OrganisationID  `json:"id"`
	Team     ident.TeamID          `json:"team"`
	Rate     ident.TokensPerSecond `json:"rateTokensPerSecond"`
	Burst    ident.Tokens          `json:"burstTokens"`
	Disabled bool                  `json:"disabled"`
}

// Key is the bearer key of a caller. Only its digest is stored.
type Key struct {
	ID           ident.KeyID          `json:"id"`
	Team         ident.TeamID         `json:"team"`
	Organisation ident.OrganisationID `json:"organisation"`
	Digest       ident.Digest         `json:"-"`
	Withdrawn    bool                 `json:"withdrawn"`
}

// RouteKind is the kind of upstreams that serve a route.
type RouteKind string

// Kinds of routes: served by the engines of a model, or by plain HTTP services.
const (
	RouteModel RouteKind = "model"
	RoutePlain RouteKind = "plain"
)

// WithdrawalAction is what happens to the open streams of a key when the key is withdrawn.
type WithdrawalAction string

// Actions on the withdrawal of a key: let its streams finish, or cut them.
const (
	WithdrawalFinish WithdrawalAction = "finish"
	WithdrawalCut    WithdrawalAction = "cut"
)

// Route sends requests to the engines of a model or to plain HTTP services.
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
	// Timeout is the time limit of one request; 0 means the daemon's default.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// UpstreamKind is the kind of an upstream.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamKVStore UpstreamKind = "kvStore"
	UpstreamPlain   UpstreamKind = "plain"
)

// Upstream is an engine, the KV cache store or a plain HTTP service.
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

// Model is a language model with its current version and the length of its prefix cache blocks.
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

// MemberState is the lifecycle state of a daemon in the fleet.
type MemberState string

// States of a member.
const (
	MemberJoined  MemberState = "joined"
	MemberLeaving MemberState = "leaving"
	MemberRemoved MemberState = "removed"
	// MemberDead is a removed daemon whose VM no longer runs, as confirmed by an operator.
	MemberDead MemberState = "dead"
)

// Active reports whether the daemon takes part in the fleet.
func (s MemberState) Active() bool {
	return s == MemberJoined || s == MemberLeaving
}

// Member is a daemon as recorded in the control stream.
type Member struct {
	ID            ident.DaemonID      `json:"id"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	CallerAddress string              `json:"callerAddress"`
	PeerAddress   string              `json:"peerAddress"`
	AdminAddress  string              `json:"adminAddress"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	State         MemberState         `json:"state"`
}

// MoveState is the lifecycle state of a move.
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

// Move shifts the traffic of routes from one version of a model to another by a deadline. Without routes it shifts all
// traffic of the model.
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

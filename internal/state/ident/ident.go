// Package ident defines the named types of the ids and units that all other packages share.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DaemonID names one daemon, that is one process of the system on one entry VM.
type DaemonID string

// OrganisationID names a customer organisation.
type OrganisationID string

// TeamID names a team of operators that owns a subtree of the configuration.
type TeamID string

// OperatorID names an operator.
type OperatorID string

// KeyID names a caller's key without revealing it.
type KeyID string

// RouteID names a route.
type RouteID string

// UpstreamID names an engine, a KV cache store or a plain service.
type UpstreamID string

// UpstreamTag is a hash of an upstream's id, for messages that name many upstreams.
type UpstreamTag uint32

// Tag returns the hash of the id.
func (id UpstreamID) Tag() UpstreamTag { return UpstreamTag(xxhash.Sum64String(string(id))) }

// ModelID names a model, independent of its version.
type ModelID string

// VersionID names a version of a model's weights.
type VersionID string

// MoveID names a move of traffic from one version to another.
type MoveID string

// FailureDomain names a failure domain.
type FailureDomain string

// RequestID names one request of a caller.
type RequestID string

// RecordID names one record of the log service. The author chooses it, so that a lost answer can be settled.
type RecordID string

// Path is the path of an entity in the configuration tree, such as /teams/alder/organisations/survey.
type Path string

// Offset is the position of a record in a stream of the log service. The first record has offset 1;
// 0 means that there is none. An offset serves as a revision and as a fencing number.
type Offset uint64

// Incarnation counts the starts of a daemon or an engine.
type Incarnation uint64

// Sequence numbers the cache events of one incarnation of an engine, from 1.
type Sequence uint64

// BlockHash identifies a block of tokens together with all blocks before it, its organisation, model,
// weights version and adapter.
type BlockHash uint64

// Tokens counts language-model tokens.
type Tokens int64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond int64

// Permille is a share in thousandths.
type Permille int32

// Digest is the SHA-256 digest of a secret. Secrets are stored and logged only as digests.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a secret.
func DigestOf(secret string) Digest {
	return sha256.Sum256([]byte(secret))
}

// String returns the first eight bytes in hexadecimal, enough to tell digests apart in logs.
func (d Digest) String() string {
	return hex.EncodeToString(d[:8])
}

// Over returns the tokens that the rate yields in d, rounded down.
func (r TokensPerSecond) Over(d time.Duration) Tokens {
	whole := int64(d / time.Second)
	rest := int64(d % time.Second)
	return Tokens(int64(r)*whole + int64(r)*rest/int64(time.Second))
}

// Package ident defines the types of ids and units that the other packages share.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DaemonID identifies a daemon, the process of the router on one entry VM.
type DaemonID string

// OrganisationID identifies an organisation, that is a customer.
type OrganisationID string

// TeamID identifies a team of operators, which owns a subtree of the configuration.
type TeamID string

// OperatorID identifies an operator.
type OperatorID string

// KeyID identifies a caller's key without revealing it.
type KeyID string

// RouteID identifies a route.
type RouteID string

// UpstreamID identifies an upstream: an engine, a KV cache store or a plain service.
type UpstreamID string

// UpstreamTag is a hash of an upstream's id, for messages that refer to many upstreams. Tags can collide.
type UpstreamTag uint32

// Tag returns the hash of the id.
func (id UpstreamID) Tag() UpstreamTag { return UpstreamTag(xxhash.Sum64String(string(id))) }

// ModelID identifies a model, regardless of its version.
type ModelID string

// VersionID identifies a version of a model's weights.
type VersionID string

// MoveID identifies a move, the shift of traffic from one version of a model to another.
type MoveID string

// FailureDomain identifies a failure domain.
type FailureDomain string

// Region identifies a group of failure domains.
type Region string

// RequestID identifies a request of a caller.
type RequestID string

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// RecordID identifies a record of the log service. The record's author chooses the id, and can thus find out whether the
// record was appended if the response to the append was lost.
type RecordID string

// Path is the path of an entity in the configuration tree, such as /teams/alder/organisations/survey.
type Path string

// Offset is the position of a record in a stream of the log service or a topic of the platform store. The first record of a
// stream has offset 1; 0 means none. Offsets also serve as revisions and fencing tokens.
//
// The platform store may return from an older copy and give out the same numbers again. The offsets of its topics therefore
// hold the store's era above the number: an offset of a later era is higher than all of earlier eras.
type Offset uint64

// Era counts how often the platform store has returned from an older copy.
type Era uint32

// numberBits is the size of the number in an Offset. With 13 bits for the era, offsets stay exact in JSON numbers.
const numberBits = 40

// NewOffset returns the offset of the record with a number in an era of the platform store.
func NewOffset(era Era, number uint64) Offset {
	return Offset(era)<<numberBits | Offset(number)&(1<<numberBits-1)
}

// Era returns the era of the platform store.
func (o Offset) Era() Era { return Era(o >> numberBits) }

// Number returns the offset within its era, as the platform store counts it.
func (o Offset) Number() uint64 { return uint64(o & (1<<numberBits - 1)) }

// String returns the number, after the era and a colon unless that is 0.
func (o Offset) String() string {
	number := strconv.FormatUint(o.Number(), 10)
	if o.Era() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(o.Era()), 10) + ":" + number
}

// Incarnation distinguishes the starts of a daemon, an engine or a KV cache store; a later start has a higher one.
type Incarnation uint64

// Sequence numbers the cache events of one incarnation of an engine or a KV cache store, from 1.
type Sequence uint64

// BlockHash identifies a block of a prompt. It covers the block's tokens, all preceding blocks, the organisation, the model, the
// version of the weights and the adapter.
type BlockHash uint64

// Tokens is a number of language-model tokens.
type Tokens int64

// TokensPerSecond is a rate in tokens per second.
type TokensPerSecond int64

// Permille is a share in thousandths.
type Permille int32

// Digest is a SHA-256 digest of a secret or of a request's content. Secrets are stored and logged only as digests.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a secret.
func DigestOf(secret string) Digest {
	return sha256.Sum256([]byte(secret))
}

// String returns the first eight bytes in hexadecimal, which suffice to distinguish digests in logs.
func (d Digest) String() string {
	return hex.EncodeToString(d[:8])
}

// Over returns the number of tokens that accrue at the rate in d, rounded down.
func (r TokensPerSecond) Over(d time.Duration) Tokens {
	wholeSeconds := int64(d / time.Second)
	remainder := int64(d % time.Second)
	return Tokens(int64(r)*wholeSeconds + int64(r)*remainder/int64(time.Second))
}

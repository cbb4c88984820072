// Package poison finds prompt parts that crash the upstreams that begin to answer them, and quarantines them.
//
// A request that breaks as its upstream ends puts its shared parts under suspicion; a complete answer clears the parts of
// its request. A part is quarantined once several upstreams have ended, one after the other, under different requests with
// it and none with it was answered. Each daemon sees only some of the crashes and answers; heartbeats carry them to the
// others, which draw the same conclusion.
package poison

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// PartHash identifies a part of a prompt.
type PartHash uint64

// HashPart returns the hash of a part's id.
func HashPart(id string) PartHash { return PartHash(xxhash.Sum64String(id)) }

// String returns the hash in hexadecimal.
func (h PartHash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// RequestHash distinguishes requests.
type RequestHash uint32

// HashRequest returns the hash of a request's id.
func HashRequest(id ident.RequestID) RequestHash { return RequestHash(xxhash.Sum64String(string(id))) }

// UpstreamKey identifies one incarnation of an upstream, of which it holds the lower half.
type UpstreamKey struct {
	Tag         ident.UpstreamTag
	Incarnation uint32
}

func keyOf(u *view.Upstream) UpstreamKey { return UpstreamKey{u.ID.Tag(), uint32(u.Incarnation)} }

// Incident is the end of an upstream under a request with a part.
type Incident struct {
	Part     PartHash
	Upstream UpstreamKey
	Request  RequestHash
	// At is when the request broke.
	At time.Time
}

// Set is a set of parts in ascending order. A request is affected if its prompt has all of them.
type Set []PartHash

// newSet returns the set of the parts.
func newSet(parts []PartHash) Set {
	s := slices.Clone(parts)
	slices.Sort(s)
	return slices.Compact(s)
}

// Key returns a name of the set that is the same on all daemons.
func (s Set) Key() string {
	var b strings.Builder
	for i, p := range s {
		if i > 0 {
			b.WriteByte('+')
		}
		b.WriteString(p.String())
	}
	return b.String()
}

// in reports whether all parts of the set are among the parts.
func (s Set) in(parts []PartHash) bool {
	for _, p := range s {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

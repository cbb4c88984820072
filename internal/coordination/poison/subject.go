// Package poison finds requests, and prompt parts, that crash the upstreams that begin to answer them, and quarantines them.
//
// A request that breaks as its upstream ends puts itself as a whole and each shared part of its prompt under suspicion; a complete
// answer clears them. A subject of suspicion is quarantined once several upstreams have ended, one after the other, under requests
// with it and none with it was answered. A part needs different requests; a whole request is found by its repeats. Each daemon sees
// only some of the crashes and answers; heartbeats carry them to the others, which draw the same conclusion.
package poison

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Hash identifies a subject: a part of a prompt, or a whole request by its fingerprint.
type Hash uint64

// HashPart returns the hash of a part's id.
func HashPart(id string) Hash { return Hash(xxhash.Sum64String(id)) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// RequestHash distinguishes requests by their fingerprints and shared parts. Repeats of a request have the same.
type RequestHash uint32

// Request is what is judged of a request.
type Request struct {
	// Parts are the hashes of the parts of its prompt that other requests may share.
	Parts []Hash
	// Fingerprint returns the hash of the whole request, which its repeats share. As that may take reading the whole body, it is
	// called only while there is evidence against whole requests, and always by the same goroutine.
	Fingerprint func() Hash
}

func hashOf(fingerprint Hash, parts []Hash) RequestHash {
	h := xxhash.New()
	for _, part := range append(slices.Clip(parts), fingerprint) {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(part)))
	}
	return RequestHash(h.Sum64())
}

// UpstreamKey identifies one incarnation of an upstream, of which it holds the lower half.
type UpstreamKey struct {
	Tag         ident.UpstreamTag
	Incarnation uint32
}

func keyOf(u *view.Upstream) UpstreamKey { return UpstreamKey{u.ID.Tag(), uint32(u.Incarnation)} }

// Incident is the end of an upstream under a request.
type Incident struct {
	// Subject is what the incident speaks against: a part of the request's prompt or, if Whole is set, the request itself.
	Subject  Hash
	Whole    bool
	Upstream UpstreamKey
	Request  RequestHash
	// At is when the request broke.
	At time.Time
}

// Set is a set of subjects in ascending order, of which each request with all of them is affected: parts, or one whole request.
type Set []Hash

// newSet returns the set of the subjects.
func newSet(parts []Hash) Set {
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

// in reports whether all of the set is among the subjects.
func (s Set) in(subjects []Hash) bool {
	for _, p := range s {
		if !slices.Contains(subjects, p) {
			return false
		}
	}
	return true
}

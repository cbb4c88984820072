package claim

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// key is a caller's idempotency key within its organisation.
type key struct {
	organisation ident.OrganisationID
	digest       ident.Digest
}

func keyOf(organisation string, digest []byte) key {
	k := key{organisation: ident.OrganisationID(organisation)}
	copy(k.digest[:], digest)
	return k
}

func (k key) slice() Slice { return SliceOf(k.organisation, k.digest) }

// slice holds the claims of a slice that this daemon owns or has owned.
type slice struct {
	mu sync.Mutex
	// open says that claims are decided, by the ownership of the epoch.
	open  bool
	epoch ident.Offset
	// backup covers the slice when covered.
	backup  ident.DaemonID
	covered bool
	// ended says that a later owner has collected the claims of the epoch.
	ended bool
	// blockedUntil is set when claims of an earlier owner may be lost.
	blockedUntil time.Time
	claims       map[key]*claim
	// order holds the claims in the order of their age.
	order []*claim
}

// claim is one claimed key. Its fields are guarded by the mutex of its slice.
type claim struct {
	key    key
	at     time.Time
	record *wire.ClaimRecord
	// durable is closed when the claim is logged or copied to the backup.
	durable chan struct{}
	// safe says that durable is closed.
	safe   bool
	logged bool
	copied bool
	freed  bool
	// finished says that the request has ended; answer is nil when it is not kept.
	finished bool
	answer   atomic.Pointer[wire.KeptAnswer]
}

func newClaim(k key, record *wire.ClaimRecord, now time.Time) *claim {
	return &claim{key: k, at: now, record: record, durable: make(chan struct{})}
}

// markSafe says that the claim survives the owner. The mutex of the slice is held.
func (c *claim) markSafe() {
	if !c.safe {
		c.safe = true
		close(c.durable)
	}
}

// blocked tells whether claims of a former owner may be lost.
func (s *slice) blocked(now time.Time) bool { return now.Before(s.blockedUntil) }

// end returns whether this daemon knows all claims of the slice up to the epoch, ends the epoch, and returns the claims
// that it granted and that may not be logged.
func (s *slice) end(epoch ident.Offset) (unlogged []*wire.ClaimRecord, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || !s.open && !s.ended {
		return nil, false
	}
	s.open, s.ended = false, true
	if s.blocked(time.Now()) {
		return nil, false
	}
	for _, c := range s.claims {
		if c.safe && !c.logged && !c.freed {
			unlogged = append(unlogged, c.record)
		}
	}
	return unlogged, true
}

// put adds a claim; it replaces an older one of the key.
func (s *slice) put(c *claim) {
	if s.claims == nil {
		s.claims = make(map[key]*claim)
	}
	s.claims[c.key] = c
	s.order = append(s.order, c)
}

// forget drops claims that are older than the window.
func (s *slice) forget(limit time.Time) {
	for len(s.order) > 0 && s.order[0].at.Before(limit) {
		c := s.order[0]
		s.order = s.order[1:]
		if s.claims[c.key] == c {
			delete(s.claims, c.key)
		}
	}
}

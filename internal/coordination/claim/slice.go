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

// slice is the state of a slice that this daemon owns or has owned.
type slice struct {
	mu sync.Mutex
	// open says that this daemon decides claims, as the owner since epoch.
	open  bool
	epoch ident.Offset
	// backupSynced says that the backup has copies of all unlogged claims and takes new ones.
	backup       ident.DaemonID
	backupSynced bool
	// handedOver says that the epoch has ended here: a later owner has collected its claims, or the slice was
	// released.
	handedOver bool
	// blockedUntil is when claims of former owners that may be lost have expired; until then no claim is decided.
	blockedUntil time.Time
	claims       map[key]*claim
	// oldestFirst holds the claims in the order in which they were made.
	oldestFirst []*claim
}

// claim is one claimed key. Its fields are guarded by the mutex of its slice.
type claim struct {
	key       key
	claimedAt time.Time
	record    *wire.ClaimRecord
	// durable is closed when the claim is logged or copied to the backup.
	durable chan struct{}
	// isDurable says that durable is closed.
	isDurable bool
	logged    bool
	copied    bool
	freed     bool
	// finished says that the request has ended; answer is nil when none is stored.
	finished bool
	answer   atomic.Pointer[wire.KeptAnswer]
}

func newClaim(k key, record *wire.ClaimRecord, now time.Time) *claim {
	return &claim{key: k, claimedAt: now, record: record, durable: make(chan struct{})}
}

// markDurable says that the claim survives a crash of the owner. The mutex of the slice is held.
func (c *claim) markDurable() {
	if !c.isDurable {
		c.isDurable = true
		close(c.durable)
	}
}

// blocked reports whether claims of a former owner may be lost and have not expired yet.
func (s *slice) blocked(now time.Time) bool { return now.Before(s.blockedUntil) }

// endEpoch ends the epoch. If this daemon knows all claims of the slice up to its end, complete is true and unlogged
// has the claims that it may have granted and that are not logged.
func (s *slice) endEpoch(epoch ident.Offset) (unlogged []*wire.ClaimRecord, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || !s.open && !s.handedOver {
		return nil, false
	}
	s.open, s.handedOver = false, true
	if s.blocked(time.Now()) {
		return nil, false
	}
	for _, c := range s.claims {
		if c.isDurable && !c.logged && !c.freed {
			unlogged = append(unlogged, c.record)
		}
	}
	return unlogged, true
}

// add adds a claim; it replaces an older one of the same key.
func (s *slice) add(c *claim) {
	if s.claims == nil {
		s.claims = make(map[key]*claim)
	}
	s.claims[c.key] = c
	s.oldestFirst = append(s.oldestFirst, c)
}

// expire removes claims that were made before the cutoff.
func (s *slice) expire(cutoff time.Time) {
	for len(s.oldestFirst) > 0 && s.oldestFirst[0].claimedAt.Before(cutoff) {
		c := s.oldestFirst[0]
		s.oldestFirst = s.oldestFirst[1:]
		if s.claims[c.key] == c {
			delete(s.claims, c.key)
		}
	}
}

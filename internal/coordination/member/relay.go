package member

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// relayedAcks returns the newest acknowledgements that the daemons of this daemon's group gave to it, packed by
// offset and age. It is called with mu held.
func (f *Membership) relayedAcks(now time.Time, state *config.State) []*wire.Heard {
	type packKey struct {
		applied ident.Offset
		age     time.Duration
	}
	byKey := map[packKey]*wire.Heard{}
	var all []*wire.Heard
	ids := idsInGroup(f.witnessSets.forState(state), f.Self.ID, f.groupCount)
	for i, id := range ids {
		a, ok := f.directAck(id, state)
		age := f.relayAge(a, now)
		if !ok || (age > relayMaxAge && !f.trustRelayed) {
			continue
		}
		k := packKey{applied: a.Applied, age: age.Truncate(relayAgeStep)}
		h := byKey[k]
		if h == nil {
			h = &wire.Heard{
				MembersOffset: uint64(state.MembersChanged()),
				AppliedOffset: uint64(a.Applied),
				Groups:        uint32(f.groupCount),
				Daemons:       make([]byte, (len(ids)+bitsPerByte-1)/bitsPerByte),
			}
			byKey[k] = h
			all = append(all, h)
		}
		h.AgeMs = max(h.AgeMs, uint32(age.Milliseconds())+1)
		h.Daemons[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	}
	return all
}

// directAck returns the newest acknowledgement that the daemon gave to this one. It returns false if there is none,
// if the daemon was recovering or if the state names another incarnation.
func (f *Membership) directAck(id ident.DaemonID, state *config.State) (HeartbeatAck, bool) {
	p := f.peers[id]
	if p == nil || p.directAck.Recovering || p.directAck.Sent.IsZero() {
		return HeartbeatAck{}, false
	}
	m, _ := state.Member(id)
	return p.directAck, p.directAck.Incarnation == m.Incarnation
}

// relayAge returns an upper bound of the time since the heartbeat was sent, by any daemon's clock. It takes the wall
// clock if that shows more, as the monotonic clock may have stopped while this VM was suspended, and adds an eighth, as
// the rates of clocks differ by less than a tenth.
func (f *Membership) relayAge(a HeartbeatAck, now time.Time) time.Duration {
	if f.ignoreRelayAge {
		return 0
	}
	age := max(now.Sub(a.Sent), now.Round(0).Sub(a.Sent.Round(0)))
	return age + age/8
}

// applyRelayedAcks records acknowledgements that another daemon relayed in its answer to a heartbeat. Their heartbeats
// count as sent at the earliest possible time: their age before this daemon sent the heartbeat to the relaying daemon.
// A recovering daemon ignores them: they may be older than its own acknowledgement of a newer record, which it has
// forgotten. It is called with mu held.
func (f *Membership) applyRelayedAcks(from ident.DaemonID, h *wire.Heard, sent time.Time, history []*config.State) {
	state := stateWithMembers(history, ident.Offset(h.GetMembersOffset()))
	sentAt := sent.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
	if state == nil || h.GetGroups() == 0 || (f.recovering && !f.trustRelayed) {
		return
	}
	for i, id := range idsInGroup(f.witnessSets.forState(state), from, int(h.GetGroups())) {
		if id == f.Self.ID || !hasBit(h.GetDaemons(), i) {
			continue
		}
		m, _ := state.Member(id)
		a := HeartbeatAck{Daemon: id, Incarnation: m.Incarnation, Sent: sentAt, Applied: ident.Offset(h.GetAppliedOffset())}
		f.peer(id).addRelayedAck(a)
		f.Follower.ObservePeerOffset(id, a.Applied)
	}
}

// stateWithMembers returns a state whose members last changed at the offset, nil if the history has none.
func stateWithMembers(history []*config.State, at ident.Offset) *config.State {
	for _, state := range history {
		if state.MembersChanged() == at {
			return state
		}
	}
	return nil
}

func hasBit(bits []byte, i int) bool {
	return i/bitsPerByte < len(bits) && bits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// relayedDigests returns the last digests of this daemon and of the other daemons of its group. It is called with mu
// held.
func (f *Membership) relayedDigests(now time.Time) []*wire.Digest {
	var all []*wire.Digest
	if hasContent(f.digest) {
		all = append(all, f.digest)
	}
	for id, p := range f.peers {
		if p.digest != nil && now.Sub(p.digestReceivedAt) < digestMaxAge && f.inOwnGroup(id) {
			all = append(all, p.digest)
		}
	}
	return all
}

// storeDigest keeps a digest that has content, to relay it to daemons of other groups. It is called with mu held.
func (f *Membership) storeDigest(p *peer, d *wire.Digest) {
	if f.groupCount > 1 && hasContent(d) {
		p.digest, p.digestReceivedAt = d, time.Now()
	}
}

func hasContent(d *wire.Digest) bool {
	return len(d.GetEngines())+len(d.GetMoves())+len(d.GetOrganisations()) > 0
}

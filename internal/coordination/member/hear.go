package member

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// tell returns the newest answers that this daemon got from the daemons of its group, packed by the offset that they name
// and their age. It is called with mu held.
func (f *Membership) tell(now time.Time, state *config.State) []*wire.Heard {
	type kind struct {
		applied ident.Offset
		age     time.Duration
	}
	packed := map[kind]*wire.Heard{}
	var all []*wire.Heard
	ids := groupIDs(f.sets.of(state), f.Self.ID, f.groups)
	for i, id := range ids {
		a, ok := f.told(id, state)
		age := f.relayAge(a, now)
		if !ok || (age > relayMaxAge && !f.credulous) {
			continue
		}
		k := kind{applied: a.Applied, age: age.Truncate(relayAgeStep)}
		h := packed[k]
		if h == nil {
			h = &wire.Heard{
				MembersOffset: uint64(state.MembersChanged()),
				AppliedOffset: uint64(a.Applied),
				Groups:        uint32(f.groups),
				Daemons:       make([]byte, (len(ids)+bitsPerByte-1)/bitsPerByte),
			}
			packed[k] = h
			all = append(all, h)
		}
		h.AgeMs = max(h.AgeMs, uint32(age.Milliseconds())+1)
		h.Daemons[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	}
	return all
}

// told returns the newest answer that the daemon gave to this one, if the state names its incarnation.
func (f *Membership) told(id ident.DaemonID, state *config.State) (HeartbeatAck, bool) {
	p := f.peers[id]
	if p == nil || p.direct.Recovering || p.direct.Sent.IsZero() {
		return HeartbeatAck{}, false
	}
	m, _ := state.Member(id)
	return p.direct, p.direct.Incarnation == m.Incarnation
}

// relayAge returns an upper bound of the time since the heartbeat was sent, on any clock: the monotonic one may have stood
// still while this VM was suspended, and clocks differ in rate by less than a tenth.
func (f *Membership) relayAge(a HeartbeatAck, now time.Time) time.Duration {
	if f.ageless {
		return 0
	}
	age := max(now.Sub(a.Sent), now.Round(0).Sub(a.Sent.Round(0)))
	return age + age/8
}

// hear takes in what another daemon has heard from its group. The answers count from when their heartbeats were sent at the latest:
// that long before the own heartbeat with whose answer they came. A daemon that recovers takes none: they may be older
// than its acknowledgement of a newer record, which it has forgotten. It is called with mu held.
func (f *Membership) hear(from ident.DaemonID, h *wire.Heard, sent time.Time, history []*config.State) {
	state := stateWithMembers(history, ident.Offset(h.GetMembersOffset()))
	at := sent.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
	if state == nil || h.GetGroups() == 0 || (f.recovering && !f.credulous) {
		return
	}
	for i, id := range groupIDs(f.sets.of(state), from, int(h.GetGroups())) {
		if id == f.Self.ID || !hasBit(h.GetDaemons(), i) {
			continue
		}
		m, _ := state.Member(id)
		a := HeartbeatAck{Daemon: id, Incarnation: m.Incarnation, Sent: at, Applied: ident.Offset(h.GetAppliedOffset())}
		f.peer(id).hear(a)
		f.Follower.ObservePeerOffset(id, a.Applied)
	}
}

// stateWithMembers returns a state whose members last changed at the offset, nil if there is none in the history.
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

// digests returns the last digests of this daemon and of those of its group. It is called with mu held.
func (f *Membership) digests(now time.Time) []*wire.Digest {
	var all []*wire.Digest
	if saysSomething(f.digest) {
		all = append(all, f.digest)
	}
	for id, p := range f.peers {
		if p.digest != nil && now.Sub(p.digestAt) < digestMaxAge && f.inGroup(id) {
			all = append(all, p.digest)
		}
	}
	return all
}

// keepDigest remembers a digest that says something, for the daemons of other groups. It is called with mu held.
func (f *Membership) keepDigest(p *peer, d *wire.Digest) {
	if f.groups > 1 && saysSomething(d) {
		p.digest, p.digestAt = d, time.Now()
	}
}

func saysSomething(d *wire.Digest) bool {
	return len(d.GetEngines())+len(d.GetMoves())+len(d.GetOrganisations()) > 0
}

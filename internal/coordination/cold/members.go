package cold

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// member is a daemon that was active at seenAt.
type member struct {
	node   rhash.Node
	seenAt time.Time
}

// division is a list of daemons over which slots were divided until endedAt, which is zero for the present one.
type division struct {
	nodes   []rhash.Node
	endedAt time.Time
}

// SetMembers sets the daemons that callers are sent to. hearsMost says that this daemon hears most of the daemons that it
// has heard lately; if it doesn't, the others may count it as lost: it takes none of their slots, and gives its own up before
// they take them.
func (t *Table) SetMembers(active []rhash.Node, hearsMost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.endSettled(now)
	switch {
	case hearsMost:
		t.heardAt = now
	case now.Sub(t.heardAt) > lostAfter:
		t.divide(nil, now)
		return
	default:
		return
	}
	if t.members == nil {
		t.members = map[ident.DaemonID]member{}
	}
	for _, n := range active {
		t.members[n.ID] = member{node: n, seenAt: now}
	}
	nodes := make([]rhash.Node, 0, len(t.members))
	for id, m := range t.members {
		if now.Sub(m.seenAt) > memberMemory {
			delete(t.members, id)
			continue
		}
		nodes = append(nodes, m.node)
	}
	slices.SortFunc(nodes, func(a, b rhash.Node) int { return cmp.Compare(a.ID, b.ID) })
	t.divide(nodes, now)
}

// divide divides the slots over the nodes from now on. The caller holds t.mu.
func (t *Table) divide(nodes []rhash.Node, now time.Time) {
	if len(t.divisions) == 0 {
		t.divisions = []division{{}}
	}
	last := &t.divisions[len(t.divisions)-1]
	if slices.Equal(last.nodes, nodes) {
		return
	}
	if t.bounded() {
		klog.InfoS("Slots of cold upstreams divided anew", "before", len(last.nodes), "daemons", len(nodes))
	}
	last.endedAt = now
	t.divisions = append(t.divisions, division{nodes: nodes})
	t.version++
}

// endSettled forgets divisions that ended more than settleTime ago. The caller holds t.mu.
func (t *Table) endSettled(now time.Time) {
	n := len(t.divisions)
	t.divisions = slices.DeleteFunc(t.divisions, func(d division) bool { return !d.endedAt.IsZero() && now.Sub(d.endedAt) > settleTime })
	if len(t.divisions) != n {
		t.version++
	}
}

// share is this daemon's share of the slots of one upstream under the divisions of a version.
type share struct {
	version, slots, held int
}

// held returns how many of an upstream's slots this daemon may use. The caller holds t.mu.
func (t *Table) held(id ident.UpstreamID, s *upstream, slots int, now time.Time) int {
	if now.Sub(t.heardAt) > lostAfter {
		return 0
	}
	t.endSettled(now)
	if s.share.version == t.version && s.share.slots == slots {
		return s.share.held
	}
	held := 0
	for i, d := range t.divisions {
		if n := t.heldIn(id, slots, d.nodes); i == 0 || n < held {
			held = n
		}
	}
	s.share = share{version: t.version, slots: slots, held: held}
	return held
}

// heldIn returns how many of an upstream's slots this daemon has if they are divided over the nodes.
func (t *Table) heldIn(id ident.UpstreamID, slots int, nodes []rhash.Node) int {
	rank := slices.Index(rhash.Pick(string(id), nodes, min(slots, len(nodes))), t.Self)
	if rank < 0 {
		return 0
	}
	held := slots / len(nodes)
	if rank < slots%len(nodes) {
		held++
	}
	return held
}

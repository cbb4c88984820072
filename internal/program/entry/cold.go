package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// soleStartTime is how long a daemon that hears no other one after its start presumes that it is cut off. It is the time
	// for which the others remember it.
	soleStartTime = 20 * time.Second
	// hearingMemory is how long a daemon that is no longer heard counts as one that there is. It is longer than any expected
	// network partition.
	hearingMemory = 2 * time.Minute
)

// hearing holds when each peer was last alive. Only nextRound uses it.
type hearing struct {
	aliveAt map[ident.DaemonID]time.Time
}

// hearsMost reports whether this daemon hears more than half of the daemons that it has heard lately. One that has just
// started and hears none of those that there are is presumed to be cut off.
func (d *Daemon) hearsMost() bool {
	h, now := &d.hearing, time.Now()
	if h.aliveAt == nil {
		h.aliveAt = map[ident.DaemonID]time.Time{}
	}
	peers, alive := d.table.All(), 0
	for _, p := range peers {
		switch {
		case p.Leaving:
			delete(h.aliveAt, p.ID)
		case p.Alive(now):
			h.aliveAt[p.ID] = now
			alive++
		}
	}
	for id, at := range h.aliveAt {
		if now.Sub(at) > hearingMemory {
			delete(h.aliveAt, id)
		}
	}
	if alive == 0 && now.Sub(d.startedAt) < soleStartTime && (len(peers) > 0 || len(d.seedAddresses()) > 0) {
		return false
	}
	return 2*(1+alive) > 1+len(h.aliveAt)
}

// reportCold updates the metrics of cold upstreams.
func (d *Daemon) reportCold() {
	held, used := 0, 0
	uses := d.coldLimits.Uses()
	for _, u := range uses {
		held += u.Held
		used += u.Used
	}
	metrics.GetOrCreateGauge("gooseberrywayColdUpstreams", nil).Set(float64(len(uses)))
	metrics.GetOrCreateGauge("gooseberrywayColdSlotsHeld", nil).Set(float64(held))
	metrics.GetOrCreateGauge("gooseberrywayColdSlotsUsed", nil).Set(float64(used))
}

// coldStatus tells operators of a cold upstream.
type coldStatus struct {
	Upstream  string `json:"upstream"`
	ColdForMs int64  `json:"coldForMs"`
	// Slots are the requests that all daemons together may send it within the window, Held those of this daemon, Used how
	// many of them are in use.
	Slots int `json:"slots"`
	Held  int `json:"held"`
	Used  int `json:"used"`
}

func (d *Daemon) coldStatus() []coldStatus {
	var out []coldStatus
	for _, u := range d.coldLimits.Uses() {
		out = append(out, coldStatus{Upstream: string(u.Upstream), ColdForMs: u.ColdFor.Milliseconds(), Slots: u.Slots, Held: u.Held, Used: u.Used})
	}
	return out
}

package entry

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/gooseberryway/gooseberryway/internal/coordination/reload"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// dutyWeights is the duty to bring engines to the named weights.
	dutyWeights = "weights"
	// eligibleAge is how long ago the store must have answered a daemon that takes a duty.
	eligibleAge = 4 * time.Second
	// barMost bounds how long one beat keeps work off an engine that loads; the next beats renew it.
	barMost = 5 * time.Second
	// maxAgeMs bounds the age of a named version in a beat.
	maxAgeMs = 1 << 30
)

// started is the reference of a clock that has no other.
var started = time.Now()

// bootTime is a clock that also counts the time for which the VM was suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

// bar returns how long an order of one daemon bars those of another: not at all where engines check terms.
func (d *Daemon) bar() time.Duration {
	if d.Settings.Limits.Fenced {
		return 0
	}
	return time.Duration(d.Settings.Limits.LeaseMs) * time.Millisecond
}

// held reports whether another daemon says that it holds the duty.
func (d *Daemon) held() bool {
	_, ok := d.table.Leader()
	return ok
}

// tellDuty adds to a beat what the holder of the duty tells.
func (d *Daemon) tellDuty(b *wire.Beat) {
	for model, w := range d.board.AllWeights() {
		if !w.NamedAtObserved {
			continue
		}
		b.Weights = append(b.Weights, &wire.NamedWeights{
			Model: string(model), Version: w.Version, AgeMs: uint32(min(time.Since(w.NamedAt).Milliseconds(), maxAgeMs)),
		})
	}
	b.Term = uint64(d.keeper.Term())
	if b.GetTerm() == 0 {
		return
	}
	pace := d.loads.Estimate()
	b.LoadMs, b.LoadsAtOnce = uint32(pace.LoadTime.Milliseconds()), uint32(pace.Concurrency)
	for _, n := range d.loads.EngineStatuses() {
		b.Loading = append(b.Loading, &wire.LoadingEngine{
			Upstream: string(n.Engine), ForMs: uint32(n.UnavailableFor.Milliseconds()), Model: string(n.Model), Version: n.Version,
		})
	}
}

// learnDuty takes what the holder of the duty tells.
func (d *Daemon) learnDuty(b *wire.Beat) {
	for _, w := range b.GetWeights() {
		at := time.Now().Add(-time.Duration(w.GetAgeMs()) * time.Millisecond)
		d.board.SetWeightsNamedAt(ident.ModelID(w.GetModel()), w.GetVersion(), at)
	}
	if b.GetTerm() > 0 {
		d.loads.SetPrior(reload.Estimate{
			LoadTime: time.Duration(b.GetLoadMs()) * time.Millisecond, Concurrency: int(b.GetLoadsAtOnce()),
		})
	}
	for _, l := range b.GetLoading() {
		id := ident.UpstreamID(l.GetUpstream())
		d.placer.SetLoading(id, min(time.Duration(l.GetForMs())*time.Millisecond, barMost))
		if u := d.board.Upstreams().ByID[id]; u != nil && l.GetVersion() > 0 {
			d.placer.SetWeightVersion(u, ident.ModelID(l.GetModel()), l.GetVersion())
		}
	}
}

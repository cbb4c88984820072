package entry

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/reload"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// weightsElection is the name of the election whose leader orders engines to load the named weights.
	weightsElection = "weights"
	// maxEligibleStoreAge is how long ago the store may have responded last for this daemon to become leader.
	maxEligibleStoreAge = 4 * time.Second
	// maxLoadingTime bounds for how long one heartbeat marks an engine as loading, which keeps requests from it.
	// Later heartbeats renew the mark.
	maxLoadingTime = 5 * time.Second
	// maxAgeMs bounds the ages of weight versions and store records in messages to peers, in milliseconds.
	maxAgeMs = 1 << 30
	// minLoggedCorrection is the smallest correction of a version's time of naming that is logged. Heartbeats take a varying time, so that
	// smaller ones are frequent.
	minLoggedCorrection = 100 * time.Millisecond
)

// processStart is the start of the clock that bootClock falls back to.
var processStart = time.Now()

// bootClock returns the time since the VM booted, including the time for which it was suspended, or since the process
// started if the kernel lacks that clock.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// takeoverDelay returns how long a new leader must wait after the last order of another one before it gives orders
// itself. It is 0 where engines check fencing tokens.
func (d *Daemon) takeoverDelay() time.Duration {
	if d.Settings.Limits.Fenced {
		return 0
	}
	return time.Duration(d.Settings.Limits.LeaseMs) * time.Millisecond
}

// hasOtherLeader reports whether a live peer says that it is the leader.
func (d *Daemon) hasOtherLeader() bool {
	_, ok := d.table.Leader()
	return ok
}

// addLeaderState adds to a heartbeat when weight versions were named and, if this daemon is the leader, its term and
// what it knows of loads in progress.
func (d *Daemon) addLeaderState(b *wire.Beat) {
	for model, w := range d.snapshots.AllWeights() {
		if !w.NamedAtObserved {
			continue
		}
		b.Weights = append(b.Weights, &wire.NamedWeights{
			Model: string(model), Version: w.Version, AgeMs: uint32(min(time.Since(w.NamedAt).Milliseconds(), maxAgeMs)),
		})
	}
	b.Term = uint64(d.elector.Term())
	if b.GetTerm() == 0 {
		return
	}
	estimate := d.weightLoader.Estimate()
	b.LoadMs, b.LoadsAtOnce = uint32(estimate.LoadTime.Milliseconds()), uint32(estimate.Concurrency)
	for _, n := range d.weightLoader.EngineStatuses() {
		b.Loading = append(b.Loading, &wire.LoadingEngine{
			Upstream: string(n.Engine), ForMs: uint32(n.UnavailableFor.Milliseconds()), Model: string(n.Model), Version: n.Version,
		})
	}
}

// observedNamings returns when weight versions were named by the word of a peer that observed it. Releases whose daemons run no requests of peers also
// called times observed at which they had learnt of a version late.
func observedNamings(b *wire.Beat) []*wire.NamedWeights {
	if !b.GetTakesRequests() {
		return nil
	}
	return b.GetWeights()
}

// applyLeaderState applies what a peer's heartbeat says of weight versions and loads.
func (d *Daemon) applyLeaderState(b *wire.Beat) {
	for _, w := range observedNamings(b) {
		at := time.Now().Add(-time.Duration(w.GetAgeMs()) * time.Millisecond)
		before, changed := d.snapshots.SetWeightsNamedAt(ident.ModelID(w.GetModel()), w.GetVersion(), at)
		if changed && (!before.NamedAtObserved || before.NamedAt.Sub(at) >= minLoggedCorrection) {
			klog.InfoS("Time of naming weights came from a peer", "peer", b.GetDaemon(), "model", w.GetModel(), "version", w.GetVersion(),
				"ageMs", w.GetAgeMs(), "beforeAgeMs", before.Age().Milliseconds(), "beforeObserved", before.NamedAtObserved, "offset", before.Offset)
		}
	}
	if b.GetTerm() > 0 {
		d.weightLoader.SetPrior(reload.Estimate{
			LoadTime: time.Duration(b.GetLoadMs()) * time.Millisecond, Concurrency: int(b.GetLoadsAtOnce()),
		})
	}
	for _, l := range b.GetLoading() {
		id := ident.UpstreamID(l.GetUpstream())
		d.placer.SetLoading(id, min(time.Duration(l.GetForMs())*time.Millisecond, maxLoadingTime))
		if u := d.snapshots.Upstreams().ByID[id]; u != nil && l.GetVersion() > 0 {
			d.placer.SetWeightVersion(u, ident.ModelID(l.GetModel()), l.GetVersion())
		}
	}
}

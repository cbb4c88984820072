package entry

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// addDisplacements adds the upstreams at whose addresses others answer to a heartbeat.
func (d *Daemon) addDisplacements(b *wire.Beat) {
	for _, m := range d.placer.Displacements() {
		b.Loading = append(b.Loading, &wire.LoadingEngine{
			Upstream: string(m.Upstream), ForMs: uint32(m.For.Milliseconds()), Version: int64(m.Incarnation),
		})
	}
}

// applyDisplacement applies an entry of a heartbeat if it tells of a displaced upstream, and reports whether it does.
func (d *Daemon) applyDisplacement(l *wire.LoadingEngine) bool {
	if l.GetModel() != "" {
		return false
	}
	d.placer.ApplyDisplacement(place.Displacement{
		Upstream: ident.UpstreamID(l.GetUpstream()), Incarnation: ident.Incarnation(l.GetVersion()),
		For: time.Duration(l.GetForMs()) * time.Millisecond,
	})
	return true
}

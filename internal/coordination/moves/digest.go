package moves

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// peerKey names the counts of one daemon's cell.
type peerKey struct {
	daemon ident.DaemonID
	cell   cellKey
}

// digestState remembers what the last digests held. It is guarded by Watch.mu.
type digestState struct {
	sent map[ident.MoveID]map[cellKey]counts
	// repeat holds how many more digests will carry a row that has not changed again.
	repeat map[ident.MoveID]map[cellKey]int
	// sinceLimits counts digests since the last one that carried limits.
	sinceLimits int
}

// Digest returns the counts of this daemon that changed since the last digests, for the other daemons. One caller
// at a time sends the result to all peers; each row goes out several times, so that a lost message does no harm.
func (w *Monitor) Digest() []*wire.MoveDigest {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.Splitter.table.Load()
	if t == nil {
		return nil
	}
	w.digest.sinceLimits++
	withLimits := w.digest.sinceLimits >= limitsEvery
	if withLimits {
		w.digest.sinceLimits = 0
	}
	var rows []*wire.MoveDigest
	for id, sh := range t.byMove {
		rows = append(rows, stopDigests(sh)...)
		f := w.knownFigures(id)
		if f == nil {
			continue
		}
		rows = append(rows, w.digestOf(sh, f)...)
		if withLimits {
			rows = append(rows, limitDigests(sh, f)...)
		}
	}
	slices.SortFunc(rows, func(a, b *wire.MoveDigest) int {
		return cmp.Compare(digestRank(b), digestRank(a))
	})
	return rows[:min(len(rows), digestRows)]
}

// digestRank orders rows by urgency.
func digestRank(row *wire.MoveDigest) int64 {
	rank := row.GetFailures() + row.GetTtftSlow() + row.GetItlSlow()
	if row.GetStopped() {
		rank += 1 << 40
	}
	if row.GetVersionId() != "" && len(row.GetBrokenUpstreams()) > 0 {
		rank += 1 << 30
	}
	return rank
}

func (w *Monitor) digestOf(sh *share, f *moveFigures) []*wire.MoveDigest {
	var rows []*wire.MoveDigest
	for key, c := range *f.cells.Load() {
		now := c.load()
		if w.digest.due(sh.move.ID, key, now) {
			rows = append(rows, cellDigest(sh, key, now))
		}
	}
	return append(rows, brokenDigests(sh, f.broken.take())...)
}

func stopDigests(sh *share) []*wire.MoveDigest {
	if !sh.stop.stopped() {
		return nil
	}
	return []*wire.MoveDigest{{
		MoveId: string(sh.move.ID), VersionId: string(sh.move.To), Stopped: true, StopReason: *sh.stop.reason.Load(),
	}}
}

// due reports whether a row belongs into the next digest and notes that it was sent.
func (d *digestState) due(move ident.MoveID, key cellKey, now counts) bool {
	if d.sent == nil {
		d.sent = map[ident.MoveID]map[cellKey]counts{}
		d.repeat = map[ident.MoveID]map[cellKey]int{}
	}
	if d.sent[move] == nil {
		d.sent[move] = map[cellKey]counts{}
		d.repeat[move] = map[cellKey]int{}
	}
	if d.sent[move][key] != now {
		d.sent[move][key] = now
		d.repeat[move][key] = digestRepeats
		return true
	}
	if d.repeat[move][key] == 0 {
		return false
	}
	d.repeat[move][key]--
	return true
}

// forget drops all moves but the given ones.
func (d *digestState) forget(keep map[ident.MoveID]bool) {
	maps.DeleteFunc(d.sent, func(id ident.MoveID, _ map[cellKey]counts) bool { return !keep[id] })
	maps.DeleteFunc(d.repeat, func(id ident.MoveID, _ map[cellKey]int) bool { return !keep[id] })
}

func versionOf(sh *share, isNew bool) ident.VersionID {
	if isNew {
		return sh.move.To
	}
	return sh.move.From
}

func cellDigest(sh *share, key cellKey, c counts) *wire.MoveDigest {
	return &wire.MoveDigest{
		MoveId:         string(sh.move.ID),
		VersionId:      string(versionOf(sh, key.isNew)),
		RouteId:        string(key.route),
		OrganisationId: string(key.organisation),
		Requests:       c.requests,
		Failures:       c.failures,
		Incomplete:     c.incomplete,
		TtftSumUs:      c.ttftMicros,
		TtftSamples:    c.ttftSamples,
		TtftSlow:       c.ttftSlow,
		ItlSumUs:       c.itlMicros,
		ItlSamples:     c.itlSamples,
		ItlSlow:        c.itlSlow,
	}
}

func brokenDigests(sh *share, events []brokenUpstream) []*wire.MoveDigest {
	byKey := map[brokenKey][]string{}
	for _, e := range events {
		byKey[e.brokenKey] = append(byKey[e.brokenKey], string(e.upstream))
	}
	var rows []*wire.MoveDigest
	for key, upstreams := range byKey {
		rows = append(rows, &wire.MoveDigest{
			MoveId: string(sh.move.ID), VersionId: string(versionOf(sh, key.isNew)), RouteId: string(key.route),
			BrokenUpstreams: upstreams,
		})
	}
	return rows
}

// limitDigests carry the limits of each route, which a restarted peer takes over.
func limitDigests(sh *share, f *moveFigures) []*wire.MoveDigest {
	var rows []*wire.MoveDigest
	for route, r := range *f.routes.Load() {
		row := &wire.MoveDigest{
			MoveId: string(sh.move.ID), RouteId: string(route),
			ItlLimitUs: time.Duration(r.itlLimits[0].Load()).Microseconds(),
		}
		known := row.GetItlLimitUs()
		for class := range r.ttftLimits {
			limit := time.Duration(r.ttftLimits[class].Load()).Microseconds()
			row.TtftLimitsUs = append(row.TtftLimitsUs, limit)
			known += limit
		}
		if known > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// Merge takes over rows of a peer's digest. Rows of moves that this daemon does not know are dropped, and so are
// counts older than those merged before.
func (w *Monitor) Merge(from ident.DaemonID, incarnation ident.Incarnation, rows []*wire.MoveDigest) {
	for _, row := range rows {
		sh := w.Splitter.table.Load().shareOf(ident.MoveID(row.GetMoveId()))
		if sh != nil {
			w.mergeRow(peer{from, incarnation}, sh, row)
		}
	}
}

type peer struct {
	daemon      ident.DaemonID
	incarnation ident.Incarnation
}

func (w *Monitor) mergeRow(from peer, sh *share, row *wire.MoveDigest) {
	f := w.figuresOf(sh)
	isNew := ident.VersionID(row.GetVersionId()) == sh.move.To
	route := ident.RouteID(row.GetRouteId())
	switch {
	case row.GetStopped():
		w.Splitter.Stop(sh.move.ID, row.GetStopReason())
		w.signal()
	case len(row.GetBrokenUpstreams()) > 0:
		for _, u := range row.GetBrokenUpstreams() {
			f.broken.heard(brokenUpstream{brokenKey{route, isNew}, ident.UpstreamID(u)})
		}
	case row.GetVersionId() == "":
		w.routeOf(f, route).adopt(row)
	default:
		key := cellKey{route, ident.OrganisationID(row.GetOrganisationId()), isNew}
		f.merge(from, key, countsOf(row))
	}
}

// merge replaces the counts of a peer; those of its earlier starts are kept in the sums.
func (f *moveFigures) merge(from peer, key cellKey, now counts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[peerKey{from.daemon, key}]
	if p.incarnation > from.incarnation {
		return
	}
	if p.incarnation < from.incarnation {
		p = peerCounts{incarnation: from.incarnation}
	}
	if now.requests < p.latest.requests || now.ttftSamples < p.latest.ttftSamples {
		return
	}
	sum := f.peerSums[key]
	sum.addAll(now.minus(p.latest))
	f.peerSums[key] = sum
	p.latest = now
	f.peers[peerKey{from.daemon, key}] = p
}

// peerCounts are the counts of one peer since its start.
type peerCounts struct {
	incarnation ident.Incarnation
	latest      counts
}

// adopt takes a peer's limits where this daemon has too few samples of its own.
func (r *routeFigures) adopt(row *wire.MoveDigest) {
	ownTTFT := r.base != nil && r.base.ttft.known()
	for class, us := range row.GetTtftLimitsUs() {
		if class < workClasses && !ownTTFT && us > 0 {
			r.ttftLimits[class].Store(int64(time.Duration(us) * time.Microsecond))
		}
	}
	ownITL := r.base != nil && r.base.itl.known()
	us := row.GetItlLimitUs()
	if us <= 0 || us > longestLimitMicros || ownITL {
		return
	}
	for class := range r.itlLimits {
		r.itlLimits[class].Store(int64(time.Duration(us<<class) * time.Microsecond))
	}
}

func countsOf(row *wire.MoveDigest) counts {
	return counts{
		requests: row.GetRequests(), failures: row.GetFailures(), incomplete: row.GetIncomplete(),
		ttftSamples: row.GetTtftSamples(), ttftSlow: row.GetTtftSlow(), ttftMicros: row.GetTtftSumUs(),
		itlSamples: row.GetItlSamples(), itlSlow: row.GetItlSlow(), itlMicros: row.GetItlSumUs(),
	}
}

// totals returns the counts by cell: of this daemon alone, or of all daemons.
func (f *moveFigures) totals(all bool) map[cellKey]counts {
	sum := map[cellKey]counts{}
	for key, c := range *f.cells.Load() {
		sum[key] = c.load()
	}
	if !all {
		return sum
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, peers := range f.peerSums {
		c := sum[key]
		c.addAll(peers)
		sum[key] = c
	}
	return sum
}

package moves

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// peerCountersKey names one set of counts of one peer.
type peerCountersKey struct {
	daemon   ident.DaemonID
	counters countersKey
}

// digestState remembers what the last digests held. It is guarded by Monitor.mu.
type digestState struct {
	sent map[ident.MoveID]map[countersKey]counts
	// repeatsLeft holds how many more times each unchanged row is sent.
	repeatsLeft map[ident.MoveID]map[countersKey]int
	// digestsSinceLimits counts the digests since the last one that carried latency limits.
	digestsSinceLimits int
}

// Digest returns the counts of this daemon that changed since the last digests, for the other daemons. One goroutine
// at a time calls it and sends the result to all peers. Each row goes out several times, so that a lost message does
// no harm.
func (m *Monitor) Digest() []*wire.MoveDigest {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.Splitter.table.Load()
	if t == nil {
		return nil
	}
	m.digest.digestsSinceLimits++
	withLimits := m.digest.digestsSinceLimits >= digestsPerLimits
	if withLimits {
		m.digest.digestsSinceLimits = 0
	}
	var rows []*wire.MoveDigest
	for id, split := range t.byMove {
		rows = append(rows, stopDigests(split)...)
		stats := m.existingStats(id)
		if stats == nil {
			continue
		}
		rows = append(rows, m.countDigests(split, stats)...)
		if withLimits {
			rows = append(rows, limitDigests(split, stats)...)
		}
	}
	slices.SortFunc(rows, func(a, b *wire.MoveDigest) int {
		return cmp.Compare(digestUrgency(b), digestUrgency(a))
	})
	return rows[:min(len(rows), maxDigestRows)]
}

// Stops returns the rows of the moves whose new version this daemon has stopped, for daemons that get no digests.
func (m *Monitor) Stops() []*wire.MoveDigest {
	t := m.Splitter.table.Load()
	if t == nil {
		return nil
	}
	var rows []*wire.MoveDigest
	for _, split := range t.byMove {
		rows = append(rows, stopDigests(split)...)
	}
	return rows
}

// digestUrgency returns a number by which rows are ordered, the most urgent highest: stops, then outages, then bad
// answers. The rows beyond maxDigestRows are dropped.
func digestUrgency(row *wire.MoveDigest) int64 {
	urgency := row.GetFailures() + row.GetTtftSlow() + row.GetItlSlow()
	if row.GetStopped() {
		urgency += 1 << 40
	}
	if row.GetVersionId() != "" && len(row.GetBrokenUpstreams()) > 0 {
		urgency += 1 << 30
	}
	return urgency
}

func (m *Monitor) countDigests(split *moveSplit, stats *moveStats) []*wire.MoveDigest {
	var rows []*wire.MoveDigest
	for key, c := range *stats.counters.Load() {
		current := c.snapshot()
		if m.digest.shouldSend(split.move.ID, key, current) {
			rows = append(rows, countersDigest(split, key, current))
		}
	}
	return append(rows, outageDigests(split, stats.outages.takeUnsent())...)
}

func stopDigests(split *moveSplit) []*wire.MoveDigest {
	if !split.stop.stopped() {
		return nil
	}
	return []*wire.MoveDigest{{
		MoveId: string(split.move.ID), VersionId: string(split.move.To), Stopped: true, StopReason: *split.stop.reason.Load(),
	}}
}

// shouldSend reports whether a row belongs into the next digest and records that it was sent.
func (d *digestState) shouldSend(move ident.MoveID, key countersKey, current counts) bool {
	if d.sent == nil {
		d.sent = map[ident.MoveID]map[countersKey]counts{}
		d.repeatsLeft = map[ident.MoveID]map[countersKey]int{}
	}
	if d.sent[move] == nil {
		d.sent[move] = map[countersKey]counts{}
		d.repeatsLeft[move] = map[countersKey]int{}
	}
	if d.sent[move][key] != current {
		d.sent[move][key] = current
		d.repeatsLeft[move][key] = digestRowRepeats
		return true
	}
	if d.repeatsLeft[move][key] == 0 {
		return false
	}
	d.repeatsLeft[move][key]--
	return true
}

// retainMoves drops the state of all moves but the given ones.
func (d *digestState) retainMoves(keep map[ident.MoveID]bool) {
	maps.DeleteFunc(d.sent, func(id ident.MoveID, _ map[countersKey]counts) bool { return !keep[id] })
	maps.DeleteFunc(d.repeatsLeft, func(id ident.MoveID, _ map[countersKey]int) bool { return !keep[id] })
}

func versionOf(split *moveSplit, isNew bool) ident.VersionID {
	if isNew {
		return split.move.To
	}
	return split.move.From
}

func countersDigest(split *moveSplit, key countersKey, c counts) *wire.MoveDigest {
	return &wire.MoveDigest{
		MoveId:         string(split.move.ID),
		VersionId:      string(versionOf(split, key.isNew)),
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

func outageDigests(split *moveSplit, events []outageEvent) []*wire.MoveDigest {
	byKey := map[outageKey][]string{}
	for _, e := range events {
		byKey[e.outageKey] = append(byKey[e.outageKey], string(e.upstream))
	}
	var rows []*wire.MoveDigest
	for key, upstreams := range byKey {
		rows = append(rows, &wire.MoveDigest{
			MoveId: string(split.move.ID), VersionId: string(versionOf(split, key.isNew)), RouteId: string(key.route),
			BrokenUpstreams: upstreams,
		})
	}
	return rows
}

// limitDigests returns the latency limits of each route, which a restarted peer adopts.
func limitDigests(split *moveSplit, stats *moveStats) []*wire.MoveDigest {
	var rows []*wire.MoveDigest
	for route, r := range *stats.routes.Load() {
		row := &wire.MoveDigest{
			MoveId: string(split.move.ID), RouteId: string(route),
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

// Merge takes over rows of a peer's digest. It drops rows of moves that this daemon does not know and counts older
// than those merged before.
func (m *Monitor) Merge(from ident.DaemonID, incarnation ident.Incarnation, rows []*wire.MoveDigest) {
	for _, row := range rows {
		split := m.Splitter.table.Load().splitOf(ident.MoveID(row.GetMoveId()))
		if split != nil {
			m.mergeRow(peerInstance{from, incarnation}, split, row)
		}
	}
}

type peerInstance struct {
	daemon      ident.DaemonID
	incarnation ident.Incarnation
}

func (m *Monitor) mergeRow(from peerInstance, split *moveSplit, row *wire.MoveDigest) {
	stats := m.statsFor(split)
	isNew := ident.VersionID(row.GetVersionId()) == split.move.To
	route := ident.RouteID(row.GetRouteId())
	switch {
	case row.GetStopped():
		m.Splitter.Stop(split.move.ID, row.GetStopReason())
		m.notifyUrgent()
	case len(row.GetBrokenUpstreams()) > 0:
		for _, u := range row.GetBrokenUpstreams() {
			stats.outages.addFromPeer(outageEvent{outageKey{route, isNew}, ident.UpstreamID(u)})
		}
	case row.GetVersionId() == "":
		m.routeStatsFor(stats, route).adoptLimits(row)
	default:
		key := countersKey{route, ident.OrganisationID(row.GetOrganisationId()), isNew}
		stats.mergeCounts(from, key, countsOf(row))
	}
}

// mergeCounts replaces the counts of a peer. The counts of its earlier incarnations stay in the totals.
func (s *moveStats) mergeCounts(from peerInstance, key countersKey, current counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.latestByPeer[peerCountersKey{from.daemon, key}]
	if p.incarnation > from.incarnation {
		return
	}
	if p.incarnation < from.incarnation {
		p = peerCounts{incarnation: from.incarnation}
	}
	if current.requests < p.latest.requests || current.ttftSamples < p.latest.ttftSamples {
		return
	}
	sum := s.peerTotals[key]
	sum.addCounts(current.sub(p.latest))
	s.peerTotals[key] = sum
	p.latest = current
	s.latestByPeer[peerCountersKey{from.daemon, key}] = p
}

// peerCounts holds the counts of one peer since its start.
type peerCounts struct {
	incarnation ident.Incarnation
	latest      counts
}

// adoptLimits takes over a peer's limits where this daemon has too few samples of its own.
func (r *routeStats) adoptLimits(row *wire.MoveDigest) {
	ownTTFT := r.baseline != nil && r.baseline.ttft.hasEnoughSamples()
	for class, us := range row.GetTtftLimitsUs() {
		if class < workClasses && !ownTTFT && us > 0 {
			r.ttftLimits[class].Store(int64(time.Duration(us) * time.Microsecond))
		}
	}
	ownITL := r.baseline != nil && r.baseline.itl.hasEnoughSamples()
	us := row.GetItlLimitUs()
	if us <= 0 || us > maxLimitMicros || ownITL {
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

// totals returns the counts of this daemon alone or, if all is set, of all daemons.
func (s *moveStats) totals(all bool) map[countersKey]counts {
	sum := map[countersKey]counts{}
	for key, c := range *s.counters.Load() {
		sum[key] = c.snapshot()
	}
	if !all {
		return sum
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, peers := range s.peerTotals {
		c := sum[key]
		c.addCounts(peers)
		sum[key] = c
	}
	return sum
}

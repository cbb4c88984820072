package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// quarantineSavePeriod is how often a daemon looks for quarantines that the store lacks.
	quarantineSavePeriod = 500 * time.Millisecond
	// newsDelayHeartbeats is the number of heartbeat periods within which news of peers arrives, if one is lost.
	newsDelayHeartbeats = 2.5
)

func (d *Daemon) newDetector() *poison.Detector {
	return &poison.Detector{
		Snapshots:     &d.snapshots,
		CheckLiveness: checkLiveness,
		OnChange:      d.peers.SendSoon,
		NewsDelay:     func() time.Duration { return fleet.ScaledTimeout(0, newsDelayHeartbeats, d.meshSize()) },
		IsProbeTurn:   d.isProbeTurn,
		IsLeaving:     d.placer.IsLeaving,
	}
}

// checkLiveness checks whether something listens at an upstream's address.
func checkLiveness(u *view.Upstream) poison.Liveness {
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(context.Background(), "tcp4", u.Address)
	switch {
	case err == nil:
		_ = c.Close()
		return poison.LivenessAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return poison.LivenessEnded
	default:
		return poison.LivenessUnknown
	}
}

// isProbeTurn reports whether this daemon is the one that probes a quarantined set in a round.
func (d *Daemon) isProbeTurn(key string, round int64) bool {
	v := d.fleet.Load()
	if v == nil || !v.isActive() || !d.pastStartup() {
		return false
	}
	nodes := make([]rhash.Node, 0, len(v.active))
	for _, p := range v.active {
		nodes = append(nodes, rhash.Node{ID: p.ID, FailureDomain: p.Domain})
	}
	picked := rhash.Pick(key+"/"+strconv.FormatInt(round, 10), nodes, 1)
	return len(picked) == 1 && picked[0] == d.Settings.DaemonID
}

// encodeEvidence encodes news of prompt parts and whole requests; nil for none.
func encodeEvidence(n poison.News) *wire.PromptEvidence {
	if len(n.Incidents)+len(n.Answers)+len(n.Quarantines) == 0 {
		return nil
	}
	out := &wire.PromptEvidence{}
	for _, i := range n.Incidents {
		out.Part = append(out.Part, uint64(i.Subject))
		out.Whole = append(out.Whole, i.Whole)
		out.Upstream = append(out.Upstream, uint32(i.Upstream.Tag))
		out.Incarnation = append(out.Incarnation, i.Upstream.Incarnation)
		out.Request = append(out.Request, uint32(i.Request))
		out.AgeMs = append(out.AgeMs, ageMs(i.At))
	}
	for _, a := range n.Answers {
		out.AnsweredPart = append(out.AnsweredPart, uint64(a.Subject))
		out.AnsweredAgeMs = append(out.AnsweredAgeMs, ageMs(a.At))
	}
	for _, q := range n.Quarantines {
		w := &wire.QuarantinedParts{Strikes: uint32(q.Strikes), Released: q.Released, AgeMs: ageMs(q.Since), Whole: q.Whole}
		for _, p := range q.Subjects {
			w.Part = append(w.Part, uint64(p))
		}
		out.Quarantined = append(out.Quarantined, w)
	}
	return out
}

// decodeEvidence decodes news of prompt parts and whole requests. The columns may differ in length; entries that lack a value are skipped.
func decodeEvidence(w *wire.PromptEvidence) poison.News {
	var n poison.News
	if w == nil {
		return n
	}
	now := time.Now()
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	rows := min(len(w.GetPart()), len(w.GetUpstream()), len(w.GetIncarnation()), len(w.GetRequest()), len(w.GetAgeMs()))
	for i := range rows {
		n.Incidents = append(n.Incidents, poison.Incident{
			Subject:  poison.Hash(w.GetPart()[i]),
			Whole:    i < len(w.GetWhole()) && w.GetWhole()[i],
			Upstream: poison.UpstreamKey{Tag: ident.UpstreamTag(w.GetUpstream()[i]), Incarnation: w.GetIncarnation()[i]},
			Request:  poison.RequestHash(w.GetRequest()[i]), At: ago(w.GetAgeMs()[i]),
		})
	}
	for i := range min(len(w.GetAnsweredPart()), len(w.GetAnsweredAgeMs())) {
		n.Answers = append(n.Answers, poison.Answer{Subject: poison.Hash(w.GetAnsweredPart()[i]), At: ago(w.GetAnsweredAgeMs()[i])})
	}
	for _, q := range w.GetQuarantined() {
		set := poison.Quarantine{Strikes: int(q.GetStrikes()), Released: q.GetReleased(), Since: ago(q.GetAgeMs()), Whole: q.GetWhole()}
		for _, p := range q.GetPart() {
			set.Subjects = append(set.Subjects, poison.Hash(p))
		}
		n.Quarantines = append(n.Quarantines, set)
	}
	return n
}

// quarantineRecord is a quarantine in the store. It holds no time, as the clocks of VMs differ: for a daemon that reads it,
// the term begins anew.
type quarantineRecord struct {
	Parts   []string `json:"parts"`
	Strikes int      `json:"strikes"`
	// Whole says that parts holds the hash of a whole request.
	Whole bool `json:"whole,omitempty"`
}

// keepQuarantines reads the quarantines in the store when the daemon starts, as all daemons may have started again and none
// may remember them. While it is this daemon's task, it writes those that the store lacks.
func (d *Daemon) keepQuarantines(ctx context.Context) {
	started := false
	var era ident.Era
	var stored map[string]int
	for ctx.Err() == nil {
		saves := d.savesQuarantines()
		if now := d.follower.Era(); now > era {
			// The restored store may lack quarantines.
			stored, era = nil, now
		}
		switch {
		case !started || saves && stored == nil:
			stored = d.readQuarantines(ctx)
			started = started || stored != nil
		case saves && !d.saveQuarantines(ctx, stored), !saves:
			stored = nil
		}
		scope.Sleep(ctx, quarantineSavePeriod)
	}
}

// savesQuarantines reports whether this daemon is the first active one that the store responds to.
func (d *Daemon) savesQuarantines() bool {
	v := d.fleet.Load()
	if v == nil || !v.isActive() || !d.pastStartup() || !d.follower.StoreReachable() {
		return false
	}
	return !slices.ContainsFunc(v.active[:v.activeRank], func(p fleet.Peer) bool { return p.StoreAge < maxReaderStoreAge })
}

// readQuarantines applies the quarantines in the store and returns the strikes of each; nil if the store could not be read.
func (d *Daemon) readQuarantines(ctx context.Context) map[string]int {
	batch, err := d.store.Newest(ctx, extern.TopicQuarantines)
	if err != nil {
		klog.InfoS("Quarantines were not read from the store", "reason", err.Error())
		return nil
	}
	stored := map[string]int{}
	var news poison.News
	for _, r := range batch.Records {
		var record quarantineRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			klog.InfoS("Quarantine record can't be decoded and is ignored", "key", r.Key, "reason", err.Error())
			continue
		}
		q := poison.Quarantine{Strikes: record.Strikes, Whole: record.Whole, Since: time.Now()}
		for _, p := range record.Parts {
			h, err := strconv.ParseUint(p, 16, 64)
			if err != nil {
				klog.InfoS("Quarantine record can't be decoded and is ignored", "key", r.Key, "reason", err.Error())
				q.Subjects = nil
				break
			}
			q.Subjects = append(q.Subjects, poison.Hash(h))
		}
		news.Quarantines = append(news.Quarantines, q)
		stored[r.Key] = record.Strikes
	}
	d.detector.Apply(news)
	return stored
}

// saveQuarantines writes the quarantines that the store lacks and removes those that have ended. It reports whether all calls
// succeeded.
func (d *Daemon) saveQuarantines(ctx context.Context, stored map[string]int) bool {
	current := map[string]bool{}
	for _, q := range d.detector.Quarantines() {
		key := q.Subjects.Key()
		if q.Released {
			continue
		}
		current[key] = true
		if stored[key] >= q.Strikes {
			continue
		}
		record := quarantineRecord{Strikes: q.Strikes, Whole: q.Whole}
		for _, p := range q.Subjects {
			record.Parts = append(record.Parts, p.String())
		}
		value, err := json.Marshal(record)
		if err == nil {
			_, err = d.store.Put(ctx, extern.TopicQuarantines, key, value, nil)
		}
		if err != nil {
			klog.InfoS("Quarantine was not written to the store", "parts", key, "reason", err.Error())
			return false
		}
		stored[key] = q.Strikes
	}
	for key := range stored {
		if current[key] {
			continue
		}
		if _, err := d.store.Put(ctx, extern.TopicQuarantines, key, nil, nil); err != nil {
			klog.InfoS("Quarantine was not removed from the store", "parts", key, "reason", err.Error())
			return false
		}
		delete(stored, key)
	}
	return true
}

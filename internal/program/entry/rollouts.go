package entry

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// encodeStages encodes how far rollouts have come.
func encodeStages(stages []canary.Stage) []*wire.RolloutStage {
	out := make([]*wire.RolloutStage, 0, len(stages))
	for i := range stages {
		s := &stages[i]
		out = append(out, &wire.RolloutStage{
			Service: string(s.Service), Order: uint64(s.Order), Stated: uint64(s.Stated), Release: s.Release, SharePermille: uint32(s.Share), State: uint32(s.State),
			Reason: s.Reason, Term: uint64(s.Term), Sequence: s.Sequence, OrderAgeMs: ageMs(s.OrderedAt), StageAgeMs: ageMs(s.Since),
		})
	}
	return out
}

// ageMs returns the milliseconds since t, within the bounds of messages to peers.
func ageMs(t time.Time) uint32 { return uint32(min(max(0, time.Since(t).Milliseconds()), maxAgeMs)) }

// applyStages applies how far a peer says that rollouts have come.
func (d *Daemon) applyStages(stages []*wire.RolloutStage) {
	now := time.Now()
	for _, s := range stages {
		state := view.RolloutState(s.GetState())
		if s.GetService() == "" || state < view.RolloutInProgress || state > view.RolloutRolledBack || s.GetSharePermille() > 1000 {
			continue
		}
		d.rollouts.ApplyStage(canary.Stage{
			Service: view.ServiceID(s.GetService()), Order: ident.Offset(s.GetOrder()), Stated: ident.Offset(s.GetStated()), Release: s.GetRelease(), State: state,
			Share: ident.Permille(s.GetSharePermille()), Reason: s.GetReason(), Term: ident.Offset(s.GetTerm()), Sequence: s.GetSequence(),
			OrderedAt: now.Add(-time.Duration(s.GetOrderAgeMs()) * time.Millisecond),
			Since:     now.Add(-time.Duration(s.GetStageAgeMs()) * time.Millisecond),
		})
	}
}

package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// reportMode is the permission mode of a report file.
const reportMode = 0o600

// printReport writes the report as tables.
func printReport(w io.Writer, r *Report) {
	fmt.Fprintf(w, "profile %s, seed %d, %.0f s a run, faults %v; times in ms of engine time\n\n", r.Profile, r.Seed, r.DurationSeconds, r.Faults)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tsent\tanswered\tlost\tdup\trefused\tbeyond\twithin rate\tover tokens\thit rate\twasted\tp50\tp99\tworst/fleet\tof gain\t")
	for _, name := range slices.Sorted(maps.Keys(r.Policies)) {
		metrics := r.Policies[name]
		printRow(t, name, &metrics.Metrics, fmt.Sprintf("%.2f\t%s", metrics.WorstTTFTRatio, percent(metrics.GainShare)))
	}
	printRow(t, "best", r.OmniscientBound, "\t")
	_ = t.Flush()
	for _, m := range r.Moves {
		fmt.Fprintf(w, "\nmove %s: %s, on time %t, %d requests went to the bad version: %.2f %% of the move's traffic until its deadline, "+
			"%.2f %% of that until it ended; %.0f ms from the fault to the last; %s\n",
			m.Kind, m.Outcome, m.OnTime, m.BadRequests, 100*m.BadShare, 100*m.BadShareUntilEnd, m.FaultToLastRequestMs, m.Reason)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Policies)) {
		printOrganisations(w, name, r.Policies[name])
		printControl(w, r.Policies[name])
	}
}

// printControl writes the control traffic of a daemon; nothing if it was not measured.
func printControl(w io.Writer, metrics *PolicyMetrics) {
	if metrics.Control == nil || metrics.ControlIdle == nil {
		return
	}
	fmt.Fprintf(w, "control for each daemon, sent and received: %.0f B/s idle, %.0f B/s in the run\n", metrics.ControlIdle.BytesPerSecond, metrics.Control.BytesPerSecond)
	for _, l := range meter.Links() {
		fmt.Fprintf(w, "  %s: %.0f and %.0f B/s on the wire\n", l, metrics.Control.Links[l].SentBytesPerSecond, metrics.Control.Links[l].ReceivedBytesPerSecond)
	}
	for _, k := range meter.Kinds() {
		if kind := metrics.Control.Kinds[k]; kind.SentBytesPerSecond > 0 {
			fmt.Fprintf(w, "  %s: %.1f messages/s of together %.0f B/s sent\n", k, kind.MessagesPerSecond, kind.SentBytesPerSecond)
		}
	}
}

// percent formats a share as a percentage; empty for nil.
func percent(share *float64) string {
	if share == nil {
		return ""
	}
	return fmt.Sprintf("%.1f %%", 100**share)
}

func printRow(w io.Writer, name string, metrics *Metrics, lastColumns string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f %%\t%.1f %%\t%.1f\t%.1f\t%s\t\n", name, metrics.Sent, metrics.Answered, metrics.Lost,
		metrics.Duplicated, metrics.Rejected, metrics.AnsweredBeyondRate, metrics.RejectedWithinRate, metrics.OverAdmittedTokens, 100*metrics.PrefixHitRate, 100*metrics.WastedRecompute,
		metrics.TTFTP50Ms, metrics.TTFTP99Ms, lastColumns)
}

func printOrganisations(w io.Writer, policy string, p *PolicyMetrics) {
	fmt.Fprintf(w, "\n%s by organisation", policy)
	if p.HitRateBefore > 0 {
		fmt.Fprintf(w, "; hit rate %.1f %% before the middle of the run, %.1f %% after", 100*p.HitRateBefore, 100*p.HitRateAfter)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, id := range slices.Sorted(maps.Keys(p.Organisations)) {
		printRow(t, string(id), p.Organisations[id], "")
	}
	_ = t.Flush()
}

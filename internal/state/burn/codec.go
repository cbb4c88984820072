package burn

import (
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Encode returns the counts as protocol messages for another daemon.
func Encode(all []SeriesCounts) []*wire.BurnSeries {
	out := make([]*wire.BurnSeries, 0, len(all))
	for _, s := range all {
		series := &wire.BurnSeries{RouteId: string(s.Route), OrganisationId: string(s.Organisation)}
		for _, c := range s.Windows {
			series.Windows = append(series.Windows, &wire.BurnCounts{
				Requests: c.Requests, Failed: c.Failed, FirstTokens: c.FirstTokens,
				LateFirstTokens: c.LateFirstTokens, Paced: c.ITLSamples, SlowPaced: c.SlowITLSamples,
			})
		}
		out = append(out, series)
	}
	return out
}

// Decode returns the counts that another daemon sent. Windows beyond those of this software version are dropped.
func Decode(all []*wire.BurnSeries) []SeriesCounts {
	out := make([]SeriesCounts, 0, len(all))
	for _, w := range all {
		s := SeriesCounts{SeriesKey: SeriesKey{ident.RouteID(w.GetRouteId()), ident.OrganisationID(w.GetOrganisationId())}}
		for i, c := range w.GetWindows() {
			if i >= len(s.Windows) {
				break
			}
			s.Windows[i] = Counts{
				Requests: c.GetRequests(), Failed: c.GetFailed(), FirstTokens: c.GetFirstTokens(),
				LateFirstTokens: c.GetLateFirstTokens(), ITLSamples: c.GetPaced(), SlowITLSamples: c.GetSlowPaced(),
			}
		}
		out = append(out, s)
	}
	return out
}

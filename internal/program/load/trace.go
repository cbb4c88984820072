package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// arrival is one request of a trace.
type arrival struct {
	// at is the time since the start of the trace, in wall time.
	at           time.Duration
	organisation int
	request      *client.Request
	// chain holds the block hashes of the prompt for the organisation and initialVersion.
	chain []ident.BlockHash
	// cost is the number of tokens of prompt and output together.
	cost ident.Tokens
}

// traceGenerator generates the arrivals of a trace from a seed.
type traceGenerator struct {
	profile      *Profile
	random       *rand.Rand
	promptParts  map[string]string
	requestCount int
}

// makeTrace returns the arrivals of a run in order of time. The duration is wall time. The same seed gives the same trace.
func makeTrace(p *Profile, seed uint64, duration time.Duration) []arrival {
	m := &traceGenerator{profile: p, random: rand.New(rand.NewPCG(seed, seed)), promptParts: map[string]string{}} // #nosec G404 -- repeatable traffic.
	var trace []arrival
	for i := range p.Organisations {
		trace = append(trace, m.organisationArrivals(i, duration)...)
	}
	return sortByTime(trace)
}

// organisationArrivals returns the arrivals of one organisation. They are a Poisson process whose rate is multiplied by
// StormFactor in the middle third of the run.
func (m *traceGenerator) organisationArrivals(i int, duration time.Duration) []arrival {
	o := m.profile.Organisations[i]
	perSecond := m.profile.Traffic.RequestsPerSecond * o.Share / m.profile.TimeScale
	var arrivals []arrival
	at := time.Duration(0)
	for {
		factor := 1.0
		if at > duration/3 && at < 2*duration/3 {
			factor = o.StormFactor
		}
		at += time.Duration(m.random.ExpFloat64() / (perSecond * factor) * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		arrivals = append(arrivals, m.newArrival(i, at))
	}
}

func (m *traceGenerator) newArrival(organisation int, at time.Duration) arrival {
	t := &m.profile.Traffic
	m.requestCount++
	epoch := int(at.Seconds() / m.profile.TimeScale / t.ShiftSeconds)
	region := m.drawPopular(t.Regions, epoch)
	plot := m.drawPopular(t.Plots, epoch)
	id := m.profile.Organisations[organisation].ID
	system := m.promptPart(fmt.Sprintf("%s base", id), t.BaseBlocks) +
		m.promptPart(fmt.Sprintf("%s region %d", id, region), t.RegionBlocks) +
		m.promptPart(fmt.Sprintf("%s plot %d.%d", id, region, plot), t.PlotBlocks)
	req := &client.Request{
		Model:     modelID,
		System:    system,
		User:      repeatToLength(fmt.Sprintf("reading %d: plausible? ", m.requestCount), int(t.TailTokens)*prefix.BytesPerToken),
		MaxTokens: int64(t.OutputTokens),
		Seed:      int64(m.requestCount),
	}
	if m.random.Float64() < auditShare {
		req.PathPrefix = auditPath
	}
	prompt := req.Prompt()
	scope := prefix.Scope{Organisation: id, Model: modelID, Version: initialVersion}
	return arrival{
		at:           at,
		organisation: organisation,
		request:      req,
		chain:        prefix.Chain(scope, prompt, m.profile.BlockTokens),
		cost:         prefix.TokensOf(prompt) + t.OutputTokens,
	}
}

// drawPopular draws a number below n from a Zipf distribution. Which numbers are popular changes with the epoch.
func (m *traceGenerator) drawPopular(n, epoch int) int {
	if n == 1 {
		return 0
	}
	zipf := rand.NewZipf(m.random, m.profile.Traffic.ZipfExponent, 1, uint64(n-1))
	return (int(zipf.Uint64()) + epoch) % n
}

// promptPart returns the text of a part of a prompt. The same name always gives the same text.
func (m *traceGenerator) promptPart(name string, blocks int) string {
	text, ok := m.promptParts[name]
	if !ok {
		text = repeatToLength(name+": sundari, gewa, goran, keora. ", blocks*int(m.profile.BlockTokens)*prefix.BytesPerToken)
		m.promptParts[name] = text
	}
	return text
}

// repeatToLength repeats a line until it has a length of n bytes.
func repeatToLength(line string, n int) string {
	return strings.Repeat(line, n/len(line)+1)[:n]
}

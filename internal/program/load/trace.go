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
	// chain are the block hashes of the prompt for the organisation and the old version.
	chain []ident.BlockHash
	cost  ident.Tokens
}

// maker makes the arrivals of a trace from a seed.
type maker struct {
	profile *Profile
	random  *rand.Rand
	texts   map[string]string
	n       int
}

// makeTrace returns the arrivals of a run of the duration in wall time. The same seed gives the same trace.
func makeTrace(p *Profile, seed uint64, duration time.Duration) []arrival {
	m := &maker{profile: p, random: rand.New(rand.NewPCG(seed, seed)), texts: map[string]string{}} // #nosec G404 -- repeatable traffic.
	var trace []arrival
	for i := range p.Organisations {
		trace = append(trace, m.organisation(i, duration)...)
	}
	return inOrder(trace)
}

// organisation returns the arrivals of one organisation, a Poisson process.
func (m *maker) organisation(i int, duration time.Duration) []arrival {
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
		arrivals = append(arrivals, m.arrival(i, at))
	}
}

func (m *maker) arrival(organisation int, at time.Duration) arrival {
	t := &m.profile.Traffic
	m.n++
	epoch := int(at.Seconds() / m.profile.TimeScale / t.ShiftSeconds)
	region := m.popular(t.Regions, epoch)
	plot := m.popular(t.Plots, epoch)
	id := m.profile.Organisations[organisation].ID
	system := m.text(fmt.Sprintf("%s base", id), t.BaseBlocks) +
		m.text(fmt.Sprintf("%s region %d", id, region), t.RegionBlocks) +
		m.text(fmt.Sprintf("%s plot %d.%d", id, region, plot), t.PlotBlocks)
	req := &client.Request{
		Model:     model,
		System:    system,
		User:      fill(fmt.Sprintf("reading %d: plausible? ", m.n), int(t.TailTokens)*prefix.BytesPerToken),
		MaxTokens: int64(t.OutputTokens),
		Seed:      int64(m.n),
	}
	if m.random.Float64() < auditShare {
		req.PathPrefix = auditPath
	}
	prompt := req.Prompt()
	scope := prefix.Scope{Organisation: id, Model: model, Version: version}
	return arrival{
		at:           at,
		organisation: organisation,
		request:      req,
		chain:        prefix.Chain(scope, prompt, m.profile.BlockTokens),
		cost:         prefix.TokensOf(prompt) + t.OutputTokens,
	}
}

// popular draws one of n by Zipf's law. Every epoch other ones are the popular ones.
func (m *maker) popular(n, epoch int) int {
	if n == 1 {
		return 0
	}
	zipf := rand.NewZipf(m.random, m.profile.Traffic.ZipfExponent, 1, uint64(n-1))
	return (int(zipf.Uint64()) + epoch) % n
}

// text returns the text of a part of a prompt; it is the same for the same name.
func (m *maker) text(name string, blocks int) string {
	text, ok := m.texts[name]
	if !ok {
		text = fill(name+": sundari, gewa, goran, keora. ", blocks*int(m.profile.BlockTokens)*prefix.BytesPerToken)
		m.texts[name] = text
	}
	return text
}

// fill repeats a line up to a length in bytes.
func fill(line string, n int) string {
	return strings.Repeat(line, n/len(line)+1)[:n]
}

package reload

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
)

const (
	// enginesPerLoad is the number of a service's engines for each that loads, before it is known from how many on loads
	// slow each other down; the published numbers are one for each six engines or more.
	enginesPerLoad = 6
	// shareMost bounds the engines that take no work for loads, however fast these are: the others serve.
	shareMost = 1.0 / 3
	// slowedBy is how much longer loads take where too many run at once; the lag of reports scatters by less.
	slowedBy = 1.2
	// widerBy is the part by which the number that load at once grows while loads take no longer.
	widerBy = 8
	// paceSamples is how many loads are remembered, of all and of each width: one that hangs doesn't move their median.
	paceSamples = 5
	// paceLeast is how many loads of a width tell how fast loads can be.
	paceLeast = 3
	// instantMost is how many times shorter than expected a load may seem: one that another daemon ordered may end just after
	// this one's order.
	instantMost = 3
	// loadMost is the longest time of a load that is taken from another daemon; published loads take up to a few seconds.
	loadMost = time.Minute
	// firstCheck is when the first load of all is looked at; nothing is known of its time.
	firstCheck = 300 * time.Millisecond
	// checkEarly is the part of the expected time after which a load is looked at: a shorter time is seen only so.
	checkEarly = 0.85
)

// Estimate is what a holder of the duty tells the others of loads, so that the next holder need not learn it anew.
type Estimate struct {
	// LoadTime is the usual time of a load; 0 if none was seen.
	LoadTime time.Duration
	// Concurrency is how many engines load at once; 0 while that is not learned.
	Concurrency int
}

// loadTimes are the last times of loads.
type loadTimes = estim.Window[time.Duration]

// pace learns how long loads take and how many engines may load at once. The zero value knows nothing.
type pace struct {
	// took holds the last times of loads by the number of engines that loaded beside each other.
	took map[int]*loadTimes
	// recent are the last times of all loads, expected their median; 0 before the first.
	recent   loadTimes
	expected time.Duration
	// width is how many may load at once; 0 for the prior. slowAt is the smallest number that was too many; 0 for none.
	width, slowAt int
}

// atOnce returns how many of n engines may load at the same time.
func (p *pace) atOnce(n int) int {
	if p.width > 0 {
		return min(p.width, widest(n))
	}
	return max(1, (n+enginesPerLoad-1)/enginesPerLoad)
}

// told returns what the others shall know.
func (p *pace) told() Estimate { return Estimate{LoadTime: p.expected, Concurrency: p.width} }

// learn takes what another daemon has learned, unless this one has seen loads itself.
func (p *pace) learn(told Estimate) {
	if p.recent.Len() > 0 || told.LoadTime <= 0 || told.LoadTime > loadMost {
		return
	}
	p.expected, p.width = told.LoadTime, max(0, told.Concurrency)
}

func widest(n int) int { return max(1, int(float64(n)*shareMost)) }

// known reports whether a load was seen to its end.
func (p *pace) known() bool { return p.expected > 0 }

// checkAfter returns when a load is looked at for the first time.
func (p *pace) checkAfter() time.Duration {
	if !p.known() {
		return firstCheck
	}
	return time.Duration(checkEarly * float64(p.expected))
}

// observe takes the time of a load of one of n engines, while at most beside of them loaded.
func (p *pace) observe(took time.Duration, beside, n int) {
	if p.known() && took < p.expected/instantMost {
		return
	}
	if p.took == nil {
		p.took = map[int]*loadTimes{}
	}
	same := p.took[beside]
	if same == nil {
		same = &loadTimes{Size: paceSamples}
		p.took[beside] = same
	}
	same.Add(took)
	p.recent.Size = paceSamples
	p.recent.Add(took)
	p.expected = p.recent.Median()
	current := p.atOnce(n)
	if beside != current || same.Len() < min(paceSamples, current) {
		return
	}
	fastest, usual := p.fastest(), same.Median()
	switch {
	case fastest > 0 && usual > time.Duration(slowedBy*float64(fastest)):
		p.slowAt = current
		p.width = max(narrowest(n), min(current-1, int(float64(current)*float64(fastest)/float64(usual)+0.5)))
	case p.slowAt == 0 || current+step(current) < p.slowAt:
		p.width = min(current+step(current), widest(n))
	}
}

// narrowest returns the least number that load at once: a weight store that serves fewer makes loads longer, but not fewer.
func narrowest(n int) int { return max(1, n/(2*enginesPerLoad)) }

func step(width int) int { return max(1, width/widerBy) }

// fastest returns the shortest usual time of a load over all widths of which enough is known; 0 if there is none.
func (p *pace) fastest() time.Duration {
	var out time.Duration
	for _, took := range p.took {
		if took.Len() < paceLeast {
			continue
		}
		if m := took.Median(); out == 0 || m < out {
			out = m
		}
	}
	return out
}

package route

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// scheduleArrivals sends one request and schedules the next, as a Poisson process.
func (x *simulationRun) scheduleArrivals() {
	rate := x.requestsPerEngine * float64(x.engineCount)
	x.scheduler.after(time.Duration(x.rng.ExpFloat64()/rate*float64(time.Second)), x.scheduleArrivals)
	org := x.drawOrganisation()
	if unlimited := x.exceedRate && org == 3; !unlimited && !x.admit(org, rate) {
		return
	}
	x.send(x.newRequest(org), org)
}

// drawOrganisation draws the organisation of the next request by share and surge factor.
func (x *simulationRun) drawOrganisation() int {
	total := 0.0
	for i, s := range organisationShares {
		total += s * surgeFactors[i]
	}
	at := x.rng.Float64() * total
	for i, s := range organisationShares {
		if at -= s * surgeFactors[i]; at < 0 {
			return i
		}
	}
	return organisationCount - 1
}

// admit limits an organisation to allowedRate and reports whether it may send one more request.
func (x *simulationRun) admit(org int, rate float64) bool {
	earned := x.allowedRate(org, rate) * (x.scheduler.now().Seconds() + 1)
	if x.admitted[org]+1 > earned {
		return false
	}
	x.admitted[org]++
	return true
}

// allowedRate returns the requests per second that an organisation may send: 1.2 times its share of the total rate.
func (x *simulationRun) allowedRate(org int, rate float64) float64 {
	total := 0.0
	for i, s := range organisationShares {
		total += s * surgeFactors[i]
	}
	return organisationShares[org] / total * rate * 1.2
}

// newRequest returns a request whose prompt consists of nested parts: the organisation's instructions, the documents of a
// prefix family, the history of a session and a unique end. Which families are popular changes every ten seconds.
func (x *simulationRun) newRequest(org int) *Request {
	shift := int(x.scheduler.now() / (10 * time.Second))
	family := (zipf(x.rng, familiesPerOrganisation) + shift*7) % familiesPerOrganisation
	session := x.rng.IntN(20)
	documents := 6 + family*7%11
	chain := make([]ident.BlockHash, 0, 24)
	scope := prefix.Scope{Organisation: ident.OrganisationID(fmt.Sprintf("org%d", org)), Model: "m", Version: "v1"}
	previous := prefix.Chain(scope, make([]byte, 4), 1)[0]
	appendBlocks := func(n int, key uint64) {
		for range n {
			buf := binary.BigEndian.AppendUint64(nil, uint64(previous))
			buf = binary.BigEndian.AppendUint64(buf, key)
			previous = prefix.Chain(scope, buf, 4)[0]
			chain = append(chain, previous)
		}
	}
	appendBlocks(2, 1)
	appendBlocks(documents, uint64(family)+2)
	appendBlocks(2, uint64(session)+1000)
	appendBlocks(1, x.rng.Uint64())
	rate := x.allowedRate(org, x.requestsPerEngine*float64(x.engineCount)) * meanRequestTokens
	return &Request{
		Scope: scope, Chain: chain, BlockTokens: blockTokens,
		Rate: ident.TokensPerSecond(rate), Burst: ident.Tokens(burstSeconds * rate),
		PromptTokens: ident.Tokens(len(chain))*blockTokens + ident.Tokens(x.rng.IntN(blockTokens)), MaxTokens: 200,
	}
}

// zipf draws one of n ranks, from 0, by Zipf's law with an exponent of 1.
func zipf(rng *rand.Rand, n int) int {
	return int(math.Pow(float64(n+1), rng.Float64())) - 1
}

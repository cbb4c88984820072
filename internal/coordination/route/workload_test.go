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

// arrive sends requests as a Poisson process.
func (x *run) arrive() {
	rate := x.perEngine * float64(x.engineCount)
	x.line.after(time.Duration(x.rng.ExpFloat64()/rate*float64(time.Second)), x.arrive)
	org := x.pickOrg()
	if flooding := x.flood && org == 3; !flooding && !x.admit(org, rate) {
		return
	}
	x.send(x.request(org), org)
}

func (x *run) pickOrg() int {
	total := 0.0
	for i, s := range orgShares {
		total += s * orgSurge[i]
	}
	at := x.rng.Float64() * total
	for i, s := range orgShares {
		if at -= s * orgSurge[i]; at < 0 {
			return i
		}
	}
	return organisation - 1
}

// admit holds organisations to 1.2 times their usual part, as their rate does.
func (x *run) admit(org int, rate float64) bool {
	earned := x.orgRate(org, rate) * (x.line.now().Seconds() + 1)
	if x.sent[org]+1 > earned {
		return false
	}
	x.sent[org]++
	return true
}

// orgRate returns the requests a second that an organisation may send.
func (x *run) orgRate(org int, rate float64) float64 {
	total := 0.0
	for i, s := range orgShares {
		total += s * orgSurge[i]
	}
	return orgShares[org] / total * rate * 1.2
}

// request makes a prompt of nested parts: the organisation's instructions, the family's documents, a session's history
// and its own end. Which families are popular shifts every ten seconds.
func (x *run) request(org int) *Request {
	shift := int(x.line.now() / (10 * time.Second))
	family := (zipf(x.rng, families) + shift*7) % families
	session := x.rng.IntN(20)
	documents := 6 + family*7%11
	chain := make([]ident.BlockHash, 0, 24)
	scope := prefix.Scope{Organisation: ident.OrganisationID(fmt.Sprintf("org%d", org)), Model: "m", Version: "v1"}
	previous := prefix.Chain(scope, make([]byte, 4), 1)[0]
	grow := func(n int, key uint64) {
		for range n {
			buf := binary.BigEndian.AppendUint64(nil, uint64(previous))
			buf = binary.BigEndian.AppendUint64(buf, key)
			previous = prefix.Chain(scope, buf, 4)[0]
			chain = append(chain, previous)
		}
	}
	grow(2, 1)
	grow(documents, uint64(family)+2)
	grow(2, uint64(session)+1000)
	grow(1, x.rng.Uint64())
	rate := x.orgRate(org, x.perEngine*float64(x.engineCount)) * meanPrompt
	return &Request{
		Scope: scope, Chain: chain, BlockTokens: blockTokens,
		Rate: ident.TokensPerSecond(rate), Burst: ident.Tokens(burstSeconds * rate),
		PromptTokens: ident.Tokens(len(chain))*blockTokens + ident.Tokens(x.rng.IntN(blockTokens)), MaxTokens: 200,
	}
}

// zipf draws from n ranks with an exponent of 1.
func zipf(rng *rand.Rand, n int) int {
	return int(math.Pow(float64(n+1), rng.Float64())) - 1
}

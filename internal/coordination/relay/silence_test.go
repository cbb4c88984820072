package relay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// onePicker picks each engine once.
type onePicker struct {
	rotatingPicker
	engines int
	// moreAt is when there is one more.
	moreAt time.Time
}

func (p *onePicker) available() int {
	if !p.moreAt.IsZero() && !time.Now().Before(p.moreAt) {
		return p.engines + 1
	}
	return p.engines
}

func (p *onePicker) hasOther(_ context.Context, _ *extern.EngineRequest, _ []ident.UpstreamID) bool {
	return p.picks < p.available()
}

func (p *onePicker) Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (Attempt, error) {
	if p.picks >= p.available() {
		return Attempt{}, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	return p.rotatingPicker.Pick(ctx, req, tried)
}

// Guards against a sound but slow answer that is given up for its silence although no other engine can follow.
func TestSoundSilentEngineIsNotCut(t *testing.T) {
	slow := func(delay time.Duration) script { return script{tokens: 2, chunkTokens: 1, delay: delay, end: endDone} }
	for name, c := range map[string]struct {
		script      script
		engines     int
		moreAfter   time.Duration
		maxAttempts int
		emptyBudget bool
		interToken  time.Duration
		deadline    time.Duration
		attempts    int
	}{
		"no other engine":              {script: slow(40 * time.Second), engines: 1, deadline: 150 * time.Second, attempts: 1},
		"no other engine for a stream": {script: slow(12 * time.Second), engines: 1, deadline: time.Minute, attempts: 1},
		"no attempt left":              {script: slow(40 * time.Second), engines: 3, maxAttempts: 1, interToken: time.Minute, deadline: 150 * time.Second, attempts: 1},
		"no retry left":                {script: slow(40 * time.Second), engines: 3, emptyBudget: true, interToken: time.Minute, deadline: 150 * time.Second, attempts: 1},
		"another engine":               {script: script{end: endStall}, engines: 2, deadline: time.Minute, attempts: 2},
		"another engine later":         {script: script{end: endStall}, engines: 1, moreAfter: 35 * time.Second, deadline: time.Minute, attempts: 2},
		"another engine for a stream":  {script: script{tokens: 1, chunkTokens: 1, end: endStall}, engines: 2, deadline: time.Minute, attempts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := &RetryBudget{MaxBalance: 1}
				if c.emptyBudget {
					require.True(t, budget.TryWithdraw())
				}
				p := &onePicker{engines: c.engines}
				if c.moreAfter > 0 {
					p.moreAt = time.Now().Add(c.moreAfter)
				}
				engine := &scriptedEngine{scripts: []script{c.script}}
				r := &Relay{Engine: engine, Picker: p, HasOther: p.hasOther, RetryBudget: budget, MaxAttempts: c.maxAttempts, InterTokenTimeout: c.interToken}
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				defer cancel()
				var out strings.Builder
				_, err := r.Run(ctx, newRequest(2), appendTo(&out))
				require.NoError(t, err)
				require.Equal(t, tokensText(0, 2), out.String())
				require.Len(t, engine.requests, c.attempts)
			})
		})
	}
}

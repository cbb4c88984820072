package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// rotation picks engines in turn and collects the reports.
type rotation struct {
	picks   int
	reports []AttemptResult
	missing int // first picks that find no engine
}

func (p *rotation) Pick(context.Context, *extern.EngineRequest, []ident.UpstreamID) (Attempt, error) {
	p.picks++
	if p.picks <= p.missing {
		return Attempt{}, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	id := ident.UpstreamID(fmt.Sprintf("e%d", p.picks))
	return Attempt{Upstream: id, OnResult: func(r AttemptResult) { p.reports = append(p.reports, r) }}, nil
}

func request(limit ident.Tokens) extern.EngineRequest {
	return extern.EngineRequest{Request: "r1", Version: "v1", MaxTokens: limit}
}

// collect returns an emit that appends to the text.
func collect(out *strings.Builder) func(*extern.EngineChunk) error {
	return func(c *extern.EngineChunk) error {
		out.WriteString(c.Text)
		return nil
	}
}

func drawScript(t *rapid.T) script {
	return script{
		back:   rapid.IntRange(0, 3).Draw(t, "back"),
		tokens: rapid.IntRange(0, 12).Draw(t, "tokens"),
		chunk:  rapid.IntRange(1, 3).Draw(t, "chunk"),
		delay:  rapid.SampledFrom([]time.Duration{0, time.Millisecond, 3 * time.Second}).Draw(t, "delay"),
		end:    rapid.IntRange(0, endKinds-1).Draw(t, "end"),
	}
}

// verdict runs a request against the engine and returns what is wrong with the outcome, empty if nothing is.
func verdict(engine *scripted, limit ident.Tokens) string {
	picker := &rotation{}
	r := &Relay{Engine: engine, Picker: picker, FirstTokenTimeout: 2 * time.Second, InterTokenTimeout: 2 * time.Second}
	var out strings.Builder
	done, err := r.Run(context.Background(), request(limit), collect(&out))
	delivered := limit
	var run *RunError
	if errors.As(err, &run) {
		delivered = run.Delivered
		if run.NotRun && delivered > 0 {
			return "an answer with tokens is said not to have run"
		}
	} else if done.OutputTokens != limit || done.Request != "r1" {
		return fmt.Sprintf("wrong end %+v", done)
	}
	switch {
	case out.String() != text(0, delivered):
		return fmt.Sprintf("wrong text of %d tokens: %q", delivered, out.String())
	case engine.open != 0:
		return "a stream was left open"
	case len(picker.reports) != picker.picks:
		return "an attempt was not reported"
	case delivered > 0 && delivered < limit:
		return fmt.Sprintf("given up after %d tokens: %v", delivered, err)
	}
	return ""
}

func TestAnswersAreContiguousWhateverEnginesDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engine := &scripted{scripts: rapid.SliceOfN(rapid.Custom(drawScript), 0, 12).Draw(rt, "scripts")}
		limit := ident.Tokens(rapid.IntRange(1, 30).Draw(rt, "limit"))
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = verdict(engine, limit) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// TestVerdictSeesAShiftedResumption proves that the check above can fail.
func TestVerdictSeesAShiftedResumption(t *testing.T) {
	for _, shift := range []int{-1, 1} {
		engine := &scripted{scripts: []script{{tokens: 5, chunk: 1, end: endCrash}}, shift: shift}
		require.Contains(t, verdict(engine, 10), "wrong text", "shift %d", shift)
	}
}

// TestGuardsCatchAWrongDelivery calls the delivery directly with what the attempt's own checks keep away.
func TestGuardsCatchAWrongDelivery(t *testing.T) {
	cases := map[string]struct {
		chunk extern.EngineChunk
		want  guard.Invariant
	}{
		"a token early":   {extern.EngineChunk{Request: "r1", Index: 4, Count: 1}, guard.StreamWhole},
		"a token late":    {extern.EngineChunk{Request: "r1", Index: 6, Count: 1}, guard.StreamWhole},
		"another request": {extern.EngineChunk{Request: "r2", Index: 5, Count: 1}, guard.AnswerOwned},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var seen []guard.Invariant
			defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v.Invariant) })()
			emit := func(*extern.EngineChunk) error { t.Error("delivered"); return nil }
			a := attempt{run: &run{relay: &Relay{}, req: request(10), emit: emit, delivered: 5}}
			require.Error(t, a.deliver(&tc.chunk))
			require.Equal(t, []guard.Invariant{tc.want}, seen)
		})
	}
}

func TestResumptionAsksForTheNextToken(t *testing.T) {
	engine := &scripted{scripts: []script{{tokens: 4, chunk: 2, end: endCrash}, {tokens: 3, chunk: 1, end: endStall}}}
	synctest.Test(t, func(t *testing.T) { require.Empty(t, verdict(engine, 10)) })
	var from []ident.Tokens
	for _, req := range engine.seen {
		from = append(from, req.ResumeFrom)
		require.Equal(t, ident.VersionID("v1"), req.Version)
	}
	require.Equal(t, []ident.Tokens{0, 4, 7}, from)
}

func TestRepeatedTokensAreDropped(t *testing.T) {
	engine := &scripted{scripts: []script{{tokens: 4, chunk: 1, end: endCrash}, {back: 3, tokens: 20, chunk: 1, end: endDone}}}
	synctest.Test(t, func(t *testing.T) { require.Empty(t, verdict(engine, 10)) })
	require.Len(t, engine.seen, 2)
}

func TestLostLastEventEndsAWholeAnswer(t *testing.T) {
	engine := &scripted{scripts: []script{{tokens: 10, chunk: 1, end: endCrash}}}
	require.Empty(t, verdict(engine, 10))
	require.Len(t, engine.seen, 1)
}

func TestFailuresBeforeTheFirstToken(t *testing.T) {
	crash := script{end: endCrash}
	unreachable := script{end: endUnreachable}
	cases := map[string]struct {
		scripts []script
		budget  *RetryBudget
		missing int
		reason  Reason
		notRun  bool
		seen    int
	}{
		"no engine":       {missing: 1, reason: ReasonNoEngine, notRun: true},
		"all unreachable": {scripts: []script{unreachable, unreachable, unreachable}, reason: ReasonAttempts, notRun: true, seen: 3},
		"one may have run": {
			scripts: []script{unreachable, crash, unreachable}, reason: ReasonAttempts, seen: 3,
		},
		"no budget": {scripts: []script{crash}, budget: &RetryBudget{MaxBalance: 1}, reason: ReasonBudget, seen: 1},
		"unreachable needs no budget": {
			scripts: []script{unreachable, unreachable, unreachable}, budget: &RetryBudget{MaxBalance: 1},
			reason: ReasonAttempts, notRun: true, seen: 3,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			engine := &scripted{scripts: tc.scripts}
			if tc.budget != nil {
				require.True(t, tc.budget.TryWithdraw())
			}
			r := &Relay{Engine: engine, Picker: &rotation{missing: tc.missing}, RetryBudget: tc.budget, MaxAttempts: 3}
			var err error
			synctest.Test(t, func(t *testing.T) { _, err = r.Run(t.Context(), request(5), nil) })
			var run *RunError
			require.ErrorAs(t, err, &run)
			require.Equal(t, tc.reason, run.Reason)
			require.Equal(t, tc.notRun, run.NotRun)
			require.Len(t, engine.seen, tc.seen)
		})
	}
}

// brokenOnce picks one engine, then none for a while.
type brokenOnce struct {
	rotation
	until time.Time
}

func (p *brokenOnce) Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (Attempt, error) {
	if p.picks > 0 && time.Now().Before(p.until) {
		return Attempt{}, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	return p.rotation.Pick(ctx, req, tried)
}

func TestAnInterruptedAnswerWaitsForAnEngine(t *testing.T) {
	for away, want := range map[time.Duration]Reason{5 * time.Second: "", time.Minute: ReasonNoEngine} {
		synctest.Test(t, func(t *testing.T) {
			engine := &scripted{scripts: []script{{tokens: 4, chunk: 1, end: endCrash}}}
			r := &Relay{Engine: engine, Picker: &brokenOnce{until: time.Now().Add(away)}}
			var out strings.Builder
			_, err := r.Run(t.Context(), request(10), collect(&out))
			if want == "" {
				require.NoError(t, err)
				require.Equal(t, text(0, 10), out.String())
				return
			}
			var run *RunError
			require.ErrorAs(t, err, &run)
			require.Equal(t, want, run.Reason)
			require.Equal(t, ident.Tokens(4), run.Delivered)
			require.False(t, run.NotRun)
		})
	}
}

func TestDeadlineAndCallerEndTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &scripted{scripts: []script{{tokens: 4, chunk: 1, end: endStall}}}
		picker := &rotation{}
		r := &Relay{Engine: engine, Picker: picker}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.Run(ctx, request(10), collect(&strings.Builder{}))
		var run *RunError
		require.ErrorAs(t, err, &run)
		require.Equal(t, ReasonDeadline, run.Reason)
		require.Zero(t, engine.open)
		require.True(t, picker.reports[0].Cancelled)
	})
	gone := &extern.UpstreamError{Kind: extern.UpstreamBroken}
	engine, picker := &scripted{}, &rotation{}
	r := &Relay{Engine: engine, Picker: picker}
	_, err := r.Run(t.Context(), request(10), func(*extern.EngineChunk) error { return gone })
	var run *RunError
	require.ErrorAs(t, err, &run)
	require.Equal(t, ReasonCaller, run.Reason)
	require.ErrorIs(t, err, gone)
	require.Len(t, engine.seen, 1, "no retry for a caller that went")
	require.True(t, picker.reports[0].Cancelled)
}

func TestASilentEngineLeavesTimeForAnother(t *testing.T) {
	spent := &RetryBudget{MaxBalance: 1}
	require.True(t, spent.TryWithdraw())
	cases := map[string]struct {
		budget *RetryBudget
		script script
		took   time.Duration
		asked  int
	}{
		"given up half way":                        {script: script{end: endStall}, took: 5 * time.Second, asked: 2},
		"without a retry, an answer may come late": {budget: spent, script: script{tokens: 1, chunk: 1, delay: 8 * time.Second}, took: 8 * time.Second, asked: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &scripted{scripts: []script{tc.script}}
				r := &Relay{Engine: engine, Picker: &rotation{}, RetryBudget: tc.budget}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				started, took := time.Now(), time.Duration(0)
				_, err := r.Run(ctx, request(1), func(*extern.EngineChunk) error {
					took = time.Since(started)
					return nil
				})
				require.NoError(t, err)
				require.Equal(t, tc.took, took)
				require.Len(t, engine.seen, tc.asked)
			})
		})
	}
}

func TestOnlyALongSilenceIsTheEnginesFault(t *testing.T) {
	for deadline, cancelled := range map[time.Duration]bool{500 * time.Millisecond: true, 20 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			picker := &rotation{}
			r := &Relay{Engine: &scripted{scripts: []script{{end: endStall}}}, Picker: picker, MaxAttempts: 1}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			_, err := r.Run(ctx, request(1), nil)
			var run *RunError
			require.ErrorAs(t, err, &run)
			require.Equal(t, ReasonDeadline, run.Reason)
			require.Equal(t, cancelled, picker.reports[0].Cancelled)
		})
	}
}

func TestASlowCallerIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &scripted{}
		r := &Relay{Engine: engine, Picker: &rotation{}, InterTokenTimeout: time.Second}
		_, err := r.Run(t.Context(), request(3), func(*extern.EngineChunk) error {
			time.Sleep(time.Minute)
			return nil
		})
		require.NoError(t, err)
		require.Len(t, engine.seen, 1)
	})
}

// otherVersion picks v2 from the second attempt on.
type otherVersion struct{ rotation }

func (p *otherVersion) Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (Attempt, error) {
	a, err := p.rotation.Pick(ctx, req, tried)
	if p.picks > 1 {
		a.Version = "v2"
	}
	return a, err
}

func TestAnAnswerStaysOnItsVersion(t *testing.T) {
	for tokens, want := range map[int][]ident.VersionID{0: {"v1", "v2"}, 4: {"v1"}} {
		synctest.Test(t, func(t *testing.T) {
			engine := &scripted{scripts: []script{{tokens: tokens, chunk: 1, end: endCrash}}}
			r := &Relay{Engine: engine, Picker: &otherVersion{}}
			_, err := r.Run(t.Context(), request(10), collect(&strings.Builder{}))
			require.Equal(t, tokens > 0, err != nil)
			var versions []ident.VersionID
			for _, req := range engine.seen {
				versions = append(versions, req.Version)
			}
			require.Equal(t, want, versions)
		})
	}
}

func TestARequestWaitsForTheBudget(t *testing.T) {
	for traffic, whole := range map[time.Duration]bool{10 * time.Millisecond: true, time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			budget := &RetryBudget{MaxBalance: 1}
			require.True(t, budget.TryWithdraw())
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				for scope.Sleep(ctx, traffic) {
					budget.Deposit()
				}
			}()
			r := &Relay{Engine: &scripted{scripts: []script{{end: endCrash}}}, Picker: &rotation{}, RetryBudget: budget}
			started := time.Now()
			_, err := r.Run(t.Context(), request(5), collect(&strings.Builder{}))
			require.Equal(t, whole, err == nil, "%v", err)
			require.LessOrEqual(t, time.Since(started), defaultRetryPatience)
			cancel()
		})
	}
}

func TestBudgetIsAShareOfRequests(t *testing.T) {
	b := &RetryBudget{MaxBalance: 2}
	require.True(t, b.TryWithdraw())
	require.True(t, b.TryWithdraw())
	require.False(t, b.TryWithdraw())
	for range 9 {
		b.Deposit()
	}
	require.False(t, b.TryWithdraw())
	b.Deposit()
	require.True(t, b.TryWithdraw())
	b.ForceWithdraw()
	for range 10 {
		b.Deposit()
	}
	require.False(t, b.TryWithdraw(), "resumptions count")
}

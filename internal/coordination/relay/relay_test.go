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

// rotatingPicker picks engines in turn and collects the results of the attempts.
type rotatingPicker struct {
	picks     int
	results   []AttemptResult
	failFirst int // number of first picks that fail
}

func (p *rotatingPicker) Pick(context.Context, *extern.EngineRequest, []ident.UpstreamID) (Attempt, error) {
	p.picks++
	if p.picks <= p.failFirst {
		return Attempt{}, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	id := ident.UpstreamID(fmt.Sprintf("e%d", p.picks))
	return Attempt{Upstream: id, OnResult: func(r AttemptResult) { p.results = append(p.results, r) }}, nil
}

func newRequest(limit ident.Tokens) extern.EngineRequest {
	return extern.EngineRequest{Request: "r1", Version: "v1", MaxTokens: limit}
}

// appendTo returns an emit function that appends the text of chunks to out.
func appendTo(out *strings.Builder) func(*extern.EngineChunk) error {
	return func(c *extern.EngineChunk) error {
		out.WriteString(c.Text)
		return nil
	}
}

func drawScript(t *rapid.T) script {
	return script{
		rewind:      rapid.IntRange(0, 3).Draw(t, "back"),
		tokens:      rapid.IntRange(0, 12).Draw(t, "tokens"),
		chunkTokens: rapid.IntRange(1, 3).Draw(t, "chunk"),
		delay:       rapid.SampledFrom([]time.Duration{0, time.Millisecond, 3 * time.Second}).Draw(t, "delay"),
		end:         rapid.IntRange(0, endKinds-1).Draw(t, "end"),
	}
}

// checkRun runs a request on the engine and describes what is wrong with the outcome; empty if nothing is.
func checkRun(engine *scriptedEngine, limit ident.Tokens) string {
	picker := &rotatingPicker{}
	r := &Relay{Engine: engine, Picker: picker, FirstTokenTimeout: 2 * time.Second, InterTokenTimeout: 2 * time.Second}
	var out strings.Builder
	done, err := r.Run(context.Background(), newRequest(limit), appendTo(&out))
	delivered := limit
	var runErr *RunError
	if errors.As(err, &runErr) {
		delivered = runErr.Delivered
		if runErr.NotRun && delivered > 0 {
			return "NotRun is set although tokens were delivered"
		}
	} else if done.OutputTokens != limit || done.Request != "r1" {
		return fmt.Sprintf("wrong end %+v", done)
	}
	switch {
	case out.String() != tokensText(0, delivered):
		return fmt.Sprintf("wrong text of %d tokens: %q", delivered, out.String())
	case engine.openStreams != 0:
		return "a stream was not closed"
	case len(picker.results) != picker.picks:
		return "an attempt was not reported"
	case delivered > 0 && delivered < limit:
		return fmt.Sprintf("given up after %d tokens: %v", delivered, err)
	}
	return ""
}

// TestAnswersAreContiguousWhateverEnginesDo guards against gaps, repetitions and early ends in the delivered text
// when engines crash, stall, skip or repeat tokens, declare a wrong length or answer another request.
func TestAnswersAreContiguousWhateverEnginesDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engine := &scriptedEngine{scripts: rapid.SliceOfN(rapid.Custom(drawScript), 0, 12).Draw(rt, "scripts")}
		limit := ident.Tokens(rapid.IntRange(1, 30).Draw(rt, "limit"))
		var problem string
		synctest.Test(t, func(*testing.T) { problem = checkRun(engine, limit) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// TestCheckRunFindsAShiftedResumption checks that checkRun, and so the test above, can fail: engines that resume one
// token off must be found.
func TestCheckRunFindsAShiftedResumption(t *testing.T) {
	for _, shift := range []int{-1, 1} {
		engine := &scriptedEngine{scripts: []script{{tokens: 5, chunkTokens: 1, end: endCrash}}, resumeShift: shift}
		require.Contains(t, checkRun(engine, 10), "wrong text", "shift %d", shift)
	}
}

// TestDeliveryOfWrongTokensIsAViolation calls deliver directly with chunks that handleChunk would refuse.
func TestDeliveryOfWrongTokensIsAViolation(t *testing.T) {
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
			var violated []guard.Invariant
			defer guard.Capture(func(v *guard.ViolationError) { violated = append(violated, v.Invariant) })()
			emit := func(*extern.EngineChunk) error { t.Error("delivered"); return nil }
			a := attempt{state: &requestState{relay: &Relay{}, req: newRequest(10), emit: emit, delivered: 5}}
			require.Error(t, a.deliver(&tc.chunk))
			require.Equal(t, []guard.Invariant{tc.want}, violated)
		})
	}
}

// TestResumptionRequestsTheNextToken guards against resumptions that start at another token than the first one that
// the caller lacks, or on another version.
func TestResumptionRequestsTheNextToken(t *testing.T) {
	engine := &scriptedEngine{scripts: []script{{tokens: 4, chunkTokens: 2, end: endCrash}, {tokens: 3, chunkTokens: 1, end: endStall}}}
	synctest.Test(t, func(t *testing.T) { require.Empty(t, checkRun(engine, 10)) })
	var resumeOffsets []ident.Tokens
	for _, req := range engine.requests {
		resumeOffsets = append(resumeOffsets, req.ResumeFrom)
		require.Equal(t, ident.VersionID("v1"), req.Version)
	}
	require.Equal(t, []ident.Tokens{0, 4, 7}, resumeOffsets)
}

// TestRepeatedTokensAreDropped guards against tokens delivered twice when a resumed engine starts 3 tokens early.
func TestRepeatedTokensAreDropped(t *testing.T) {
	engine := &scriptedEngine{scripts: []script{{tokens: 4, chunkTokens: 1, end: endCrash}, {rewind: 3, tokens: 20, chunkTokens: 1, end: endDone}}}
	synctest.Test(t, func(t *testing.T) { require.Empty(t, checkRun(engine, 10)) })
	require.Len(t, engine.requests, 2)
}

// TestLostLastEventAfterAllTokensCompletesTheAnswer guards against a needless resumption when an engine crashes
// after the last token and before the last event.
func TestLostLastEventAfterAllTokensCompletesTheAnswer(t *testing.T) {
	engine := &scriptedEngine{scripts: []script{{tokens: 10, chunkTokens: 1, end: endCrash}}}
	require.Empty(t, checkRun(engine, 10))
	require.Len(t, engine.requests, 1)
}

// TestFailuresBeforeTheFirstToken checks the reason, NotRun and the number of attempts of requests that fail without
// a token.
func TestFailuresBeforeTheFirstToken(t *testing.T) {
	crash := script{end: endCrash}
	unreachable := script{end: endUnreachable}
	cases := map[string]struct {
		scripts   []script
		budget    *RetryBudget
		failFirst int
		reason    Reason
		notRun    bool
		attempts  int
	}{
		"no engine":       {failFirst: 1, reason: ReasonNoEngine, notRun: true},
		"all unreachable": {scripts: []script{unreachable, unreachable, unreachable}, reason: ReasonAttempts, notRun: true, attempts: 3},
		"one may have run": {
			scripts: []script{unreachable, crash, unreachable}, reason: ReasonAttempts, attempts: 3,
		},
		"no budget": {scripts: []script{crash}, budget: &RetryBudget{MaxBalance: 1}, reason: ReasonBudget, attempts: 1},
		"unreachable needs no budget": {
			scripts: []script{unreachable, unreachable, unreachable}, budget: &RetryBudget{MaxBalance: 1},
			reason: ReasonAttempts, notRun: true, attempts: 3,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			engine := &scriptedEngine{scripts: tc.scripts}
			if tc.budget != nil {
				require.True(t, tc.budget.TryWithdraw())
			}
			r := &Relay{Engine: engine, Picker: &rotatingPicker{failFirst: tc.failFirst}, RetryBudget: tc.budget, MaxAttempts: 3}
			var err error
			synctest.Test(t, func(t *testing.T) { _, err = r.Run(t.Context(), newRequest(5), nil) })
			var runErr *RunError
			require.ErrorAs(t, err, &runErr)
			require.Equal(t, tc.reason, runErr.Reason)
			require.Equal(t, tc.notRun, runErr.NotRun)
			require.Len(t, engine.requests, tc.attempts)
		})
	}
}

// unavailablePicker picks one engine, then none until unavailableUntil.
type unavailablePicker struct {
	rotatingPicker
	unavailableUntil time.Time
}

func (p *unavailablePicker) Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (Attempt, error) {
	if p.picks > 0 && time.Now().Before(p.unavailableUntil) {
		return Attempt{}, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	return p.rotatingPicker.Pick(ctx, req, tried)
}

// TestInterruptedAnswerWaitsForAnEngine guards against an answer that is truncated because no engine is available for
// a moment, and against a wait beyond MaxResumeWait.
func TestInterruptedAnswerWaitsForAnEngine(t *testing.T) {
	for unavailableFor, want := range map[time.Duration]Reason{5 * time.Second: "", time.Minute: ReasonNoEngine} {
		synctest.Test(t, func(t *testing.T) {
			engine := &scriptedEngine{scripts: []script{{tokens: 4, chunkTokens: 1, end: endCrash}}}
			r := &Relay{Engine: engine, Picker: &unavailablePicker{unavailableUntil: time.Now().Add(unavailableFor)}}
			var out strings.Builder
			_, err := r.Run(t.Context(), newRequest(10), appendTo(&out))
			if want == "" {
				require.NoError(t, err)
				require.Equal(t, tokensText(0, 10), out.String())
				return
			}
			var runErr *RunError
			require.ErrorAs(t, err, &runErr)
			require.Equal(t, want, runErr.Reason)
			require.Equal(t, ident.Tokens(4), runErr.Delivered)
			require.False(t, runErr.NotRun)
		})
	}
}

// TestDeadlineAndFailedEmitEndTheRequest guards against retries, or failures counted against the engine, after
// an end that the caller caused.
func TestDeadlineAndFailedEmitEndTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &scriptedEngine{scripts: []script{{tokens: 4, chunkTokens: 1, end: endStall}}}
		picker := &rotatingPicker{}
		r := &Relay{Engine: engine, Picker: picker}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.Run(ctx, newRequest(10), appendTo(&strings.Builder{}))
		var runErr *RunError
		require.ErrorAs(t, err, &runErr)
		require.Equal(t, ReasonDeadline, runErr.Reason)
		require.Zero(t, engine.openStreams)
		require.True(t, picker.results[0].Cancelled)
	})
	emitErr := &extern.UpstreamError{Kind: extern.UpstreamBroken}
	engine, picker := &scriptedEngine{}, &rotatingPicker{}
	r := &Relay{Engine: engine, Picker: picker}
	_, err := r.Run(t.Context(), newRequest(10), func(*extern.EngineChunk) error { return emitErr })
	var runErr *RunError
	require.ErrorAs(t, err, &runErr)
	require.Equal(t, ReasonCaller, runErr.Reason)
	require.ErrorIs(t, err, emitErr)
	require.Len(t, engine.requests, 1, "no retry after emit failed")
	require.True(t, picker.results[0].Cancelled)
}

// TestSilentEngineLeavesTimeForAnotherAttempt guards against a silent engine that uses up the whole deadline. Without
// a retry in the budget the attempt must go on, as its answer may come late.
func TestSilentEngineLeavesTimeForAnotherAttempt(t *testing.T) {
	emptyBudget := &RetryBudget{MaxBalance: 1}
	require.True(t, emptyBudget.TryWithdraw())
	cases := map[string]struct {
		budget   *RetryBudget
		script   script
		ttft     time.Duration
		attempts int
	}{
		"given up at half of the deadline":           {script: script{end: endStall}, ttft: 5 * time.Second, attempts: 2},
		"not given up without a retry in the budget": {budget: emptyBudget, script: script{tokens: 1, chunkTokens: 1, delay: 8 * time.Second}, ttft: 8 * time.Second, attempts: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &scriptedEngine{scripts: []script{tc.script}}
				r := &Relay{Engine: engine, Picker: &rotatingPicker{}, RetryBudget: tc.budget}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				started, ttft := time.Now(), time.Duration(0)
				_, err := r.Run(ctx, newRequest(1), func(*extern.EngineChunk) error {
					ttft = time.Since(started)
					return nil
				})
				require.NoError(t, err)
				require.Equal(t, tc.ttft, ttft)
				require.Len(t, engine.requests, tc.attempts)
			})
		})
	}
}

// TestDeadlineIsTheEnginesFaultOnlyAfterALongSilence guards against failures counted against engines for short
// deadlines of callers.
func TestDeadlineIsTheEnginesFaultOnlyAfterALongSilence(t *testing.T) {
	for deadline, cancelled := range map[time.Duration]bool{500 * time.Millisecond: true, 20 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			picker := &rotatingPicker{}
			r := &Relay{Engine: &scriptedEngine{scripts: []script{{end: endStall}}}, Picker: picker, MaxAttempts: 1}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			_, err := r.Run(ctx, newRequest(1), nil)
			var runErr *RunError
			require.ErrorAs(t, err, &runErr)
			require.Equal(t, ReasonDeadline, runErr.Reason)
			require.Equal(t, cancelled, picker.results[0].Cancelled)
		})
	}
}

// TestSlowEmitDoesNotTimeOutTheEngine guards against the time of a slow caller being counted as silence of the
// engine.
func TestSlowEmitDoesNotTimeOutTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &scriptedEngine{}
		r := &Relay{Engine: engine, Picker: &rotatingPicker{}, InterTokenTimeout: time.Second}
		_, err := r.Run(t.Context(), newRequest(3), func(*extern.EngineChunk) error {
			time.Sleep(time.Minute)
			return nil
		})
		require.NoError(t, err)
		require.Len(t, engine.requests, 1)
	})
}

// versionChangePicker picks version v2 from the second attempt on.
type versionChangePicker struct{ rotatingPicker }

func (p *versionChangePicker) Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (Attempt, error) {
	a, err := p.rotatingPicker.Pick(ctx, req, tried)
	if p.picks > 1 {
		a.Version = "v2"
	}
	return a, err
}

// TestAnswerStaysOnItsVersion guards against an answer with tokens of two versions. Before the first token the
// version may change.
func TestAnswerStaysOnItsVersion(t *testing.T) {
	for tokens, want := range map[int][]ident.VersionID{0: {"v1", "v2"}, 4: {"v1"}} {
		synctest.Test(t, func(t *testing.T) {
			engine := &scriptedEngine{scripts: []script{{tokens: tokens, chunkTokens: 1, end: endCrash}}}
			r := &Relay{Engine: engine, Picker: &versionChangePicker{}}
			_, err := r.Run(t.Context(), newRequest(10), appendTo(&strings.Builder{}))
			require.Equal(t, tokens > 0, err != nil)
			var versions []ident.VersionID
			for _, req := range engine.requests {
				versions = append(versions, req.Version)
			}
			require.Equal(t, want, versions)
		})
	}
}

// TestFailedRequestWaitsForTheRetryBudget guards against requests that fail in a burst of failures although the
// budget has a retry soon after, and against a wait beyond MaxRetryWait.
func TestFailedRequestWaitsForTheRetryBudget(t *testing.T) {
	for depositInterval, succeeds := range map[time.Duration]bool{10 * time.Millisecond: true, time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			budget := &RetryBudget{MaxBalance: 1}
			require.True(t, budget.TryWithdraw())
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				for scope.Sleep(ctx, depositInterval) {
					budget.Deposit()
				}
			}()
			r := &Relay{Engine: &scriptedEngine{scripts: []script{{end: endCrash}}}, Picker: &rotatingPicker{}, RetryBudget: budget}
			started := time.Now()
			_, err := r.Run(t.Context(), newRequest(5), appendTo(&strings.Builder{}))
			require.Equal(t, succeeds, err == nil, "%v", err)
			require.LessOrEqual(t, time.Since(started), defaultMaxRetryWait)
			cancel()
		})
	}
}

// TestBudgetGrowsByAShareOfRequestsAndCountsResumptions checks that ten requests yield one retry and that a
// resumption takes one away.
func TestBudgetGrowsByAShareOfRequestsAndCountsResumptions(t *testing.T) {
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
	require.False(t, b.TryWithdraw(), "resumptions draw on the budget")
}

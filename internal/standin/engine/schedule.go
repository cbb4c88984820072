package engine

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// completedBlock is a block of a job's prompt that the current step completes. It enters the cache when the step ends.
type completedBlock struct {
	job   *job
	index int // index in the job's chain
}

// schedule runs steps one after the other while there is work. Each step starts at the planned end of the one before,
// so that late timers don't slow the engine down.
func (e *Engine) schedule(ctx context.Context) {
	var end time.Time
	for {
		stepTime := e.planStep()
		if stepTime == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if now := time.Now(); now.Sub(end) > maxScheduleLag {
			end = now
		}
		end = end.Add(stepTime)
		if sleepUntil(ctx, end) != nil {
			return
		}
		e.finishStep()
	}
}

// sleepUntil returns nil at the given time, or the error of ctx if it ends first.
func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// planStep fills the batch from the queue, plans the next step and returns its scaled duration, or 0 if there is nothing
// to do.
func (e *Engine) planStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completedBlocks = e.completedBlocks[:0]
	for len(e.waiting) > 0 && len(e.running) < e.MaxRunning {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 || e.isDown() {
		return 0
	}
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	prefillTime, generating, budget := time.Duration(0), 0, e.PrefillChunk
	for _, j := range e.running {
		if j.processedTokens == j.promptTokens {
			generating++
			continue
		}
		prefillTime += e.prefill(j, &budget)
	}
	d := e.StepTime + time.Duration(generating)*e.StepPerRequest + prefillTime
	return max(e.scaled(time.Duration(float64(d)*e.faults.stepTimeFactor())), minStepTime)
}

// prefill advances the job's prompt and returns the unscaled time that it takes. Cached blocks cost nothing; imported
// and computed tokens use up the step's budget of tokens.
func (e *Engine) prefill(j *job, budget *ident.Tokens) time.Duration {
	var cost time.Duration
	slow := e.slowFactor(j)
	for j.processedTokens < j.promptTokens {
		index := int(j.processedTokens / e.BlockTokens)
		atBlockStart := index < len(j.chain) && j.processedTokens%e.BlockTokens == 0
		if atBlockStart && e.cache.entries[j.chain[index]] != nil {
			e.pinBlock(j, j.chain[index])
			j.processedTokens += e.BlockTokens
			j.cachedTokens += e.BlockTokens
			e.stats.CachedTokens += e.BlockTokens
			continue
		}
		if *budget <= 0 {
			break
		}
		if atBlockStart && index < j.importableBlocks {
			cost += e.importBlock(j, index, budget)
			continue
		}
		cost += time.Duration(float64(e.computeTokens(j, index, budget)) * slow)
	}
	return cost
}

func (e *Engine) importBlock(j *job, index int, budget *ident.Tokens) time.Duration {
	cost := time.Duration(e.BlockTokens) * e.ImportPerToken
	*budget -= max(ident.Tokens(cost/e.PrefillPerToken), 1)
	j.processedTokens += e.BlockTokens
	e.stats.ImportedTokens += e.BlockTokens
	e.completedBlocks = append(e.completedBlocks, completedBlock{job: j, index: index})
	return cost
}

// computeTokens processes tokens that are not cached, up to the end of the block, the prompt or the budget.
func (e *Engine) computeTokens(j *job, index int, budget *ident.Tokens) time.Duration {
	blockEnd := ident.Tokens(index+1) * e.BlockTokens
	n := min(*budget, blockEnd-j.processedTokens, j.promptTokens-j.processedTokens)
	*budget -= n
	j.processedTokens += n
	e.stats.ComputedTokens += n
	if index < len(j.chain) && j.processedTokens == blockEnd {
		e.completedBlocks = append(e.completedBlocks, completedBlock{job: j, index: index})
	}
	return time.Duration(n) * e.PrefillPerToken
}

// finishStep applies the planned step: completed blocks enter the cache, and each request whose prompt is processed
// generates a token.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publishChanges(e.cacheCompletedBlocks())
	for i := 0; i < len(e.running); {
		j := e.running[i]
		if j.processedTokens == j.promptTokens {
			e.generateToken(j)
		}
		if i < len(e.running) && e.running[i] == j {
			i++
		}
	}
}

// cacheCompletedBlocks adds the blocks that the step completed to the cache, pinned by their jobs, and returns the hashes
// of the new ones. Jobs that were cancelled during the step are skipped.
func (e *Engine) cacheCompletedBlocks() []ident.BlockHash {
	var added []ident.BlockHash
	now := time.Now()
	for _, p := range e.completedBlocks {
		if !slices.Contains(e.running, p.job) {
			continue
		}
		hash := p.job.chain[p.index]
		if e.cache.entries[hash] != nil {
			e.pinBlock(p.job, hash)
			continue
		}
		b := e.cache.add(hash, p.job.req.Organisation, p.job.req.Version, now)
		p.job.pinnedBlocks = append(p.job.pinnedBlocks, b)
		added = append(added, hash)
	}
	e.completedBlocks = e.completedBlocks[:0]
	return added
}

func (e *Engine) publishChanges(added []ident.BlockHash) {
	e.feed.Publish(added, e.evict())
	if e.ExportBlocks && e.Store != nil && len(added) > 0 {
		select {
		case e.exportQueue <- added:
		default:
		}
	}
}

// generateToken adds one token to the answer, ends the answer after its last token, and applies the faults of its output.
// It does nothing while the reader is too far behind.
func (e *Engine) generateToken(j *job) {
	if j.nextToken == j.stallAt || !j.completion.hasRoom() {
		return
	}
	if j.nextToken == j.truncateAt {
		e.removeJob(j)
		e.stats.Truncated++
		j.completion.end(extern.EngineDone{}, &TruncatedError{})
		return
	}
	j.tokenCredit += 1 / e.slowFactor(j)
	if j.tokenCredit < 1 {
		return
	}
	j.tokenCredit--
	j.nextToken++
	e.stats.OutputTokens++
	j.completion.addToken()
	if j.nextToken < j.maxTokens {
		return
	}
	e.removeJob(j)
	e.stats.Answered++
	j.completion.end(extern.EngineDone{
		Request:      j.completion.servedRequest.Request,
		FinishReason: finishReasonLength,
		PromptTokens: j.promptTokens - j.req.ResumeFrom,
		CachedTokens: j.cachedTokens,
		OutputTokens: j.maxTokens,
	}, nil)
}

package engine

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// piece is the part of a prompt that a step processes for one job. A whole block enters the cache when the step ends.
type piece struct {
	job   *job
	block int // index in the chain, negative if no block is completed
}

// schedule runs one step after the other while there is work.
func (e *Engine) schedule(ctx context.Context) {
	var end time.Time
	for {
		d := e.plan()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if now := time.Now(); now.Sub(end) > maxLag {
			end = now
		}
		end = end.Add(d)
		if sleepUntil(ctx, end) != nil {
			return
		}
		e.finish()
	}
}

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

// plan chooses the work of the next step and returns its duration, 0 if there is nothing to do.
func (e *Engine) plan() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces = e.pieces[:0]
	for len(e.waiting) > 0 && len(e.running) < e.MaxRunning {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 || e.isDown() {
		return 0
	}
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	cost, generating, budget := time.Duration(0), 0, e.PrefillChunk
	for _, j := range e.running {
		if j.processed == j.prompt {
			generating++
			continue
		}
		cost += e.prefill(j, &budget)
	}
	d := e.StepTime + time.Duration(generating)*e.StepPerRequest + cost
	return max(e.scaled(time.Duration(float64(d)*e.faults.slow())), minStep)
}

// prefill processes prompt tokens within the budget and returns what they cost.
func (e *Engine) prefill(j *job, budget *ident.Tokens) time.Duration {
	var cost time.Duration
	slow := e.slowness(j)
	for j.processed < j.prompt {
		at := int(j.processed / e.BlockTokens)
		whole := at < len(j.chain) && j.processed%e.BlockTokens == 0
		if whole && e.cache.entries[j.chain[at]] != nil {
			e.pin(j, j.chain[at])
			j.processed += e.BlockTokens
			j.cached += e.BlockTokens
			e.stats.CachedTokens += e.BlockTokens
			continue
		}
		if *budget <= 0 {
			break
		}
		if whole && at < j.importable {
			cost += e.importBlock(j, at, budget)
			continue
		}
		cost += time.Duration(float64(e.compute(j, at, budget)) * slow)
	}
	return cost
}

func (e *Engine) importBlock(j *job, at int, budget *ident.Tokens) time.Duration {
	cost := time.Duration(e.BlockTokens) * e.ImportPerToken
	*budget -= max(ident.Tokens(cost/e.PrefillPerToken), 1)
	j.processed += e.BlockTokens
	e.stats.ImportedTokens += e.BlockTokens
	e.pieces = append(e.pieces, piece{job: j, block: at})
	return cost
}

// compute processes missed tokens up to the end of the block, the prompt or the budget.
func (e *Engine) compute(j *job, at int, budget *ident.Tokens) time.Duration {
	blockEnd := ident.Tokens(at+1) * e.BlockTokens
	n := min(*budget, blockEnd-j.processed, j.prompt-j.processed)
	*budget -= n
	j.processed += n
	e.stats.ComputedTokens += n
	if at < len(j.chain) && j.processed == blockEnd {
		e.pieces = append(e.pieces, piece{job: j, block: at})
	}
	return time.Duration(n) * e.PrefillPerToken
}

// finish applies the planned step: completed blocks enter the cache and each generating request gets a token.
func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.complete())
	for i := 0; i < len(e.running); {
		j := e.running[i]
		if j.processed == j.prompt {
			e.generate(j)
		}
		if i < len(e.running) && e.running[i] == j {
			i++
		}
	}
}

// complete adds the blocks of the step to the cache and returns them.
func (e *Engine) complete() []ident.BlockHash {
	var added []ident.BlockHash
	now := time.Now()
	for _, p := range e.pieces {
		if !slices.Contains(e.running, p.job) {
			continue
		}
		hash := p.job.chain[p.block]
		if e.cache.entries[hash] != nil {
			e.pin(p.job, hash)
			continue
		}
		b := e.cache.add(hash, p.job.req.Organisation, p.job.req.Version, now)
		p.job.blocks = append(p.job.blocks, b)
		added = append(added, hash)
	}
	e.pieces = e.pieces[:0]
	return added
}

func (e *Engine) publish(added []ident.BlockHash) {
	e.feed.Publish(added, e.evict())
	if e.ExportBlocks && e.Store != nil && len(added) > 0 {
		select {
		case e.exports <- added:
		default:
		}
	}
}

// generate emits one token and ends the answer after the last.
func (e *Engine) generate(j *job) {
	if j.next == j.stallAt || !j.out.room() {
		return
	}
	if j.next == j.truncateAt {
		e.drop(j)
		e.stats.Truncated++
		j.out.end(extern.EngineDone{}, &TruncatedError{})
		return
	}
	j.credit += 1 / e.slowness(j)
	if j.credit < 1 {
		return
	}
	j.credit--
	j.next++
	e.stats.OutputTokens++
	j.out.emit()
	if j.next < j.limit {
		return
	}
	e.drop(j)
	e.stats.Answered++
	j.out.end(extern.EngineDone{
		Request:      j.out.answers.Request,
		FinishReason: finishLength,
		PromptTokens: j.prompt - j.req.ResumeFrom,
		CachedTokens: j.cached,
		OutputTokens: j.limit,
	}, nil)
}

package health

import "time"

// batchWait estimates how long a new request waits for a slot in the engine's batch, from a report of the given age and the
// number of requests begun since then. If the report has waiting requests the batch is full, and a running request leaves
// it every meanDecodeTime / RunningRequests.
func (u *Upstream) batchWait(r *report, age time.Duration, begun int64) time.Duration {
	decodeTime := u.meanDecodeTime.load()
	if r.WaitingRequests == 0 || r.RunningRequests == 0 || decodeTime == 0 {
		return 0
	}
	interval := decodeTime / float64(r.RunningRequests)
	queued := float64(r.WaitingRequests) + float64(begun)
	wait := min(max(0, queued*interval-age.Seconds()), maxBatchWait.Seconds())
	return time.Duration(wait * float64(time.Second))
}

// ObserveDecodeTime updates the mean decode time with the time from a response's first token to its last.
func (u *Upstream) ObserveDecodeTime(d time.Duration) {
	if d <= 0 {
		return
	}
	sample := d.Seconds()
	u.meanDecodeTime.update(func(old float64) float64 {
		if old == 0 {
			return sample
		}
		return old + decodeTimeWeight*(sample-old)
	})
}

package health

import "time"

// batchWait estimates how long a request waits for room in the batch, from a report of an age and the requests begun
// since. Requests that wait say that the batch is full; then one leaves it every batchTime / running requests.
func (u *Upstream) batchWait(r *report, age time.Duration, begun int64) time.Duration {
	answer := u.batchTime.load()
	if r.WaitingRequests == 0 || r.RunningRequests == 0 || answer == 0 {
		return 0
	}
	each := answer / float64(r.RunningRequests)
	ahead := float64(r.WaitingRequests) + float64(begun)
	wait := min(max(0, ahead*each-age.Seconds()), batchWaitMax.Seconds())
	return time.Duration(wait * float64(time.Second))
}

// ObserveDecodeTime takes in the time that an answer took from its first token to its last.
func (u *Upstream) ObserveDecodeTime(d time.Duration) {
	if d <= 0 {
		return
	}
	sample := d.Seconds()
	u.batchTime.update(func(old float64) float64 {
		if old == 0 {
			return sample
		}
		return old + batchWeight*(sample-old)
	})
}

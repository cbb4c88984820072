package quota

// historyTime is a logical time of a fillHistory; it grows with each record.
type historyTime uint64

// peak is an upper bound of the unspent tokens between the previous peak and until.
type peak struct {
	until   historyTime
	unspent microTokens
}

// fillHistory gives an upper bound of how full a bucket has been since an earlier time. It keeps a list of descending
// peaks of the unspent tokens (in the bucket and in grants). Peaks that differ by at most the resolution are merged,
// which bounds the length of the list.
type fillHistory struct {
	clock      historyTime
	resolution microTokens
	peaks      []peak
}

// record appends the unspent tokens after a refill or an added transfer.
func (h *fillHistory) record(unspent microTokens) {
	h.clock++
	merged := unspent
	for n := len(h.peaks); n > 0 && h.peaks[n-1].unspent <= merged+h.resolution; n-- {
		merged = max(merged, h.peaks[n-1].unspent)
		h.peaks = h.peaks[:n-1]
		if merged > unspent {
			break
		}
	}
	h.peaks = append(h.peaks, peak{until: h.clock, unspent: merged})
}

// firstPeakAfter returns the index of the first peak after the given time, or len(h.peaks).
func (h *fillHistory) firstPeakAfter(after historyTime) int {
	i := len(h.peaks)
	for i > 0 && h.peaks[i-1].until > after {
		i--
	}
	return i
}

// peakSince returns an upper bound of the unspent tokens since the given time; 0 when nothing was recorded since.
func (h *fillHistory) peakSince(after historyTime) microTokens {
	i := h.firstPeakAfter(after)
	if i == len(h.peaks) {
		return 0
	}
	return h.peaks[i].unspent
}

// raise adds n to the peaks after the given time and drops earlier peaks that are not higher than the raised ones.
func (h *fillHistory) raise(after historyTime, n microTokens) {
	i := h.firstPeakAfter(after)
	if i == len(h.peaks) {
		return
	}
	for j := i; j < len(h.peaks); j++ {
		h.peaks[j].unspent += n
	}
	lowest := i
	for lowest > 0 && h.peaks[lowest-1].unspent <= h.peaks[i].unspent {
		lowest--
	}
	h.peaks = append(h.peaks[:lowest], h.peaks[i:]...)
}

package quota

// mark is a moment in a history.
type mark uint64

// peak is an upper bound of the unspent tokens from the previous peak up to a moment.
type peak struct {
	until   mark
	unspent micro
}

// history keeps upper bounds of the unspent tokens since any earlier moment: a list of ever lower peaks. Peaks that
// differ by less than grain are merged, which bounds the length of the list.
type history struct {
	now   mark
	grain micro
	peaks []peak
}

// record notes the unspent tokens after they have grown.
func (h *history) record(unspent micro) {
	h.now++
	top := unspent
	for n := len(h.peaks); n > 0 && h.peaks[n-1].unspent <= top+h.grain; n-- {
		top = max(top, h.peaks[n-1].unspent)
		h.peaks = h.peaks[:n-1]
		if top > unspent {
			break
		}
	}
	h.peaks = append(h.peaks, peak{until: h.now, unspent: top})
}

// since returns the index of the first peak after the moment.
func (h *history) since(from mark) int {
	i := len(h.peaks)
	for i > 0 && h.peaks[i-1].until > from {
		i--
	}
	return i
}

// peak returns an upper bound of the unspent tokens since the moment; 0 when they have not grown since.
func (h *history) peak(from mark) micro {
	i := h.since(from)
	if i == len(h.peaks) {
		return 0
	}
	return h.peaks[i].unspent
}

// raise adds tokens to the unspent ones of all moments since the given one.
func (h *history) raise(from mark, n micro) {
	i := h.since(from)
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

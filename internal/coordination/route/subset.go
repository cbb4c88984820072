package route

// engineSubset is the subset of the engines to which this daemon prefers to send prompts with more than
// twoChoicesMaxMissedBlocks missed blocks. Without it, daemons that decide at the same time would all choose the same idle
// engine before a load report shows its work.
type engineSubset struct {
	rank, daemons int
}

// SetDaemonRank sets the number of daemons and the rank of this one, from 0, in an order on which all daemons agree. The
// subsets are only preferences, so daemons may disagree for a while. With fewer than two daemons there are no subsets.
func (r *Router) SetDaemonRank(rank, daemons int) {
	r.subset.Store(&engineSubset{rank: rank, daemons: daemons})
}

// contains reports whether the engine with the given index, of that many engines, is in the subset.
func (s *engineSubset) contains(index, engines int) bool {
	if s == nil || s.daemons < 2 || engines == 0 {
		return false
	}
	subsets := min(s.daemons, engines)
	return index%subsets == s.rank%subsets
}

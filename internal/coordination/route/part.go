package route

// part is this daemon's part of the engines, on which it places prompts that no engine holds. Several daemons that
// place at the same time would otherwise choose the same idle engine, before a load report shows it.
type part struct {
	rank, daemons int
}

// SetDaemonRank tells the router how many daemons there are and which of them, from 0, this one is in an order on which all
// agree. The parts need not be exact at any time: they are preferences. With no or one daemon there are none.
func (r *Router) SetDaemonRank(rank, daemons int) {
	r.part.Store(&part{rank: rank, daemons: daemons})
}

// owns reports whether the engine with the given index belongs to the part, when there are so many engines.
func (p *part) owns(index, engines int) bool {
	if p == nil || p.daemons < 2 || engines == 0 {
		return false
	}
	parts := min(p.daemons, engines)
	return index%parts == p.rank%parts
}

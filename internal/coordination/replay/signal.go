package replay

import "sync"

// signal wakes one goroutine. Several raises before the goroutine receives from c count as one.
type signal struct {
	once sync.Once
	c    chan struct{}
}

func (s *signal) init() {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
}

func (s *signal) raise() {
	select {
	case s.c <- struct{}{}:
	default:
	}
}

package health

import (
	"math"
	"sync/atomic"
)

// atomicFloat is a float64 that is read and updated without a lock.
type atomicFloat struct {
	bits atomic.Uint64
}

func (f *atomicFloat) load() float64 { return math.Float64frombits(f.bits.Load()) }

func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

func (f *atomicFloat) update(next func(old float64) float64) {
	for {
		old := f.bits.Load()
		v := math.Float64bits(next(math.Float64frombits(old)))
		if f.bits.CompareAndSwap(old, v) {
			return
		}
	}
}

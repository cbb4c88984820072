package estim

import (
	"cmp"
	"slices"
)

// Window holds the last samples of a value. Size is set before the first call. It is not safe for concurrent use.
type Window[T cmp.Ordered] struct {
	// Size is the maximum number of samples.
	Size int

	samples []T
	next    int
}

// Add adds a sample, in place of the oldest one if the window is full.
func (w *Window[T]) Add(sample T) {
	if len(w.samples) < w.Size {
		w.samples = append(w.samples, sample)
		return
	}
	w.samples[w.next] = sample
	w.next = (w.next + 1) % w.Size
}

// Len returns the number of samples.
func (w *Window[T]) Len() int { return len(w.samples) }

// Max returns the largest sample. It panics if there are none.
func (w *Window[T]) Max() T { return slices.Max(w.samples) }

// Median returns the upper median of the samples. It panics if there are none.
func (w *Window[T]) Median() T {
	sorted := slices.Sorted(slices.Values(w.samples))
	return sorted[len(sorted)/2]
}

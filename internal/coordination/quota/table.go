package quota

import "sync"

// table is a map for concurrent use that is read far more often than written.
type table[K comparable, V any] struct {
	values sync.Map
}

// load returns the value of a key.
func (t *table[K, V]) load(key K) (*V, bool) {
	value, ok := t.values.Load(key)
	if !ok {
		return nil, false
	}
	v, ok := value.(*V)
	return v, ok
}

// loadOrStore returns the value of the key, which it sets to v when there is none.
func (t *table[K, V]) loadOrStore(key K, v *V) *V {
	value, _ := t.values.LoadOrStore(key, v)
	if stored, ok := value.(*V); ok {
		return stored
	}
	return v
}

// all calls f with each value.
func (t *table[K, V]) all(f func(v *V)) {
	t.values.Range(func(_, value any) bool {
		if v, ok := value.(*V); ok {
			f(v)
		}
		return true
	})
}

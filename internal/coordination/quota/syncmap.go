package quota

import "sync"

// syncMap is a typed sync.Map. It is for maps that are read far more often than written.
type syncMap[K comparable, V any] struct {
	values sync.Map
}

func (t *syncMap[K, V]) load(key K) (*V, bool) {
	value, ok := t.values.Load(key)
	if !ok {
		return nil, false
	}
	v, ok := value.(*V)
	return v, ok
}

// loadOrStore returns the value of the key; if there is none, it stores and returns v.
func (t *syncMap[K, V]) loadOrStore(key K, v *V) *V {
	value, _ := t.values.LoadOrStore(key, v)
	if stored, ok := value.(*V); ok {
		return stored
	}
	return v
}

func (t *syncMap[K, V]) forEach(f func(v *V)) {
	t.values.Range(func(_, value any) bool {
		if v, ok := value.(*V); ok {
			f(v)
		}
		return true
	})
}

package admin

import (
	"errors"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// FuzzDecodeEntity decodes arbitrary bodies as every entity kind: a decoder must return an *Error, never another error,
// and an entity that the configuration accepts must be stored under its path.
func FuzzDecodeEntity(f *testing.F) {
	f.Add("x", []byte(`{"team":"alder","rate":1000,"burst":5000}`))
	f.Add("x", []byte(`{"team":"alder","models":["m"],"kind":"model"}`))
	f.Add("../x", []byte(`{"team":"a/b","kind":"engine","address":"127.0.0.1:1","failureDomain":"north","model":"m"}`))
	f.Add("", []byte(`{"rate":-1}{}`))
	all := kinds()
	f.Fuzz(func(t *testing.T, id string, body []byte) {
		for _, k := range all {
			entity, err := k.decode(id, body)
			var apiErr *Error
			if err != nil && !errors.As(err, &apiErr) {
				t.Fatalf("%s: decoder returned %T instead of *Error", k.name, err)
			}
			if err == nil {
				requireFoundAfterApply(t, entity)
			}
		}
	})
}

// requireFoundAfterApply checks that an entity that the configuration accepts can then be read under its path.
func requireFoundAfterApply(t *testing.T, entity config.Entity) {
	t.Helper()
	state := config.NewState()
	rec := config.NewRecord(ident.RecordID("r1"), "operator", 0, entity)
	if after, err := state.Apply(1, rec); err == nil && after.Entity(config.PathOf(entity)) == nil {
		t.Fatalf("%s was accepted but cannot be read", config.PathOf(entity))
	}
}

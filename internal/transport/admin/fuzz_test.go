package admin

import (
	"errors"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// FuzzDecodeEntity reads any body as each kind of entity and, where it can be read, checks and applies it.
func FuzzDecodeEntity(f *testing.F) {
	f.Add("x", []byte(`{"team":"alder","rate":1000,"burst":5000}`))
	f.Add("x", []byte(`{"team":"alder","models":["m"],"kind":"model"}`))
	f.Add("../x", []byte(`{"team":"a/b","kind":"engine","address":"127.0.0.1:1","failureDomain":"north","model":"m"}`))
	f.Add("", []byte(`{"rate":-1}{}`))
	all := kinds()
	f.Fuzz(func(t *testing.T, id string, body []byte) {
		for _, k := range all {
			entity, err := k.decode(id, body)
			var refused *Error
			if err != nil && !errors.As(err, &refused) {
				t.Fatalf("%s: untyped error %T", k.name, err)
			}
			if err == nil {
				applyOnce(t, entity)
			}
		}
	})
}

// applyOnce checks that an entity that the configuration accepts is found under its path afterwards.
func applyOnce(t *testing.T, entity config.Entity) {
	t.Helper()
	state := config.NewState()
	rec := config.NewRecord(ident.RecordID("r1"), "operator", 0, entity)
	if after, err := state.Apply(1, rec); err == nil && after.Entity(config.PathOf(entity)) == nil {
		t.Fatalf("%s was accepted and is not there", config.PathOf(entity))
	}
}

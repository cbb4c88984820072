package local

import (
	"context"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// bootstrapAuthor is the author of the initial configuration, and the prefix of the ids of its records.
const bootstrapAuthor = "bootstrap"

// writeConfiguration creates the keys of the organisations and appends the initial configuration to the control stream.
func (s *System) writeConfiguration(ctx context.Context) error {
	s.Keys = map[ident.OrganisationID]string{}
	entities := []config.Entity{
		&config.Version{ID: s.Version, Model: s.Model, Weights: string(s.Version)},
		&config.Model{ID: s.Model, CurrentVersion: s.Version, BlockTokens: s.blockTokens()},
	}
	for _, v := range slices.Concat(s.EngineSettings.Versions, s.NewVersions) {
		entities = append(entities, &config.Version{ID: v, Model: s.Model, Weights: string(v)})
	}
	for i, e := range s.engines {
		entities = append(entities, &config.Upstream{
			ID:             e.ID,
			Kind:           config.UpstreamEngine,
			BaseURL:        e.URL(),
			FailureDomain:  s.failureDomain(i),
			Model:          s.Model,
			ChecksFencing:  e.ChecksFencing,
			ChecksIdentity: e.ChecksIdentity,
		})
	}
	for _, up := range s.Upstreams {
		entities = append(entities, &up)
	}
	entities = append(entities, s.organisations()...)
	for i, e := range entities {
		if err := s.appendRecord(ctx, i, e); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) blockTokens() ident.Tokens {
	if s.EngineSettings.BlockTokens > 0 {
		return s.EngineSettings.BlockTokens
	}
	return defaultBlockTokens
}

// organisations returns the organisations with a new key each, a route of each team to the model, and the further routes.
func (s *System) organisations() []config.Entity {
	var entities []config.Entity
	teams := map[ident.TeamID]bool{}
	for _, organisation := range s.Organisations {
		secret := "gbw-" + randomHex(sharedTokenBytes)
		s.Keys[organisation.ID] = secret
		entities = append(entities, &organisation, &config.Key{
			ID:           ident.KeyID(string(organisation.ID) + "-key"),
			Team:         organisation.Team,
			Organisation: organisation.ID,
			Digest:       ident.DigestOf(secret),
		})
		if !teams[organisation.Team] {
			teams[organisation.Team] = true
			entities = append(entities, &config.Route{
				ID:              ident.RouteID(string(organisation.Team) + "-" + string(s.Model)),
				Team:            organisation.Team,
				Kind:            config.RouteModel,
				Model:           s.Model,
				OnKeyWithdrawal: config.WithdrawalFinish,
			})
		}
	}
	for _, route := range s.Routes {
		entities = append(entities, &route)
	}
	return entities
}

func (s *System) appendRecord(ctx context.Context, i int, e config.Entity) error {
	rec := config.NewRecord(ident.RecordID(fmt.Sprintf("%s-%d", bootstrapAuthor, i)), bootstrapAuthor, 0, e)
	payload, err := proto.Marshal(rec)
	if err != nil {
		return err
	}
	_, err = s.Log.Append(ctx, extern.StreamControl, payload)
	return err
}

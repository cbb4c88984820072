package daemon

import (
	"context"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// claims refuses idempotency keys.
type claims struct{}

// Claim implements serve.Claimer.
func (claims) Claim(context.Context, ident.OrganisationID, string, ident.Digest, ident.RequestID) (serve.Claim, error) {
	return serve.Claim{}, &serve.Error{Code: serve.CodeClaimUnavailable, Message: "idempotency keys are not taken"}
}

// Finish implements serve.Claimer.
func (claims) Finish(context.Context, ident.OrganisationID, string, ident.RequestID, *serve.KeptAnswer) {
}

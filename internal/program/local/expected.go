package local

import (
	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ExpectedText returns the text with which the stand-in engines respond to a request that the version serves.
func ExpectedText(req *client.Request, version string) string {
	digest := engine.DigestPrompt(req.Prompt())
	model, v := ident.ModelID(req.Model), ident.VersionID(version)
	return engine.Answer(model, v, digest, uint64(req.Seed), 0, ident.Tokens(req.MaxTokens))
}

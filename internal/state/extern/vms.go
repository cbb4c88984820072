package extern

import (
	"context"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// VM is an entry of the platform's VM list: a VM and the daemon that runs on it.
type VM struct {
	Daemon        ident.DaemonID      `json:"id"`
	PeerAddress   string              `json:"peerAddress"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Leaving       bool                `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. It is eventually consistent: a dead VM may still be listed and a new
// one may be missing, so it is only a hint.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

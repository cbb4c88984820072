package view

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// poolDigestBytes is the length of the digest that tells pools of shared parts apart.
const poolDigestBytes = 8

// CacheScope tells which organisations share the cached parts of prompts. Parts of one scope are never used in another.
type CacheScope struct {
	// Owner is the isolated organisation that shares with no other; empty for the shared pool.
	Owner ident.OrganisationID
	// Pool identifies the shared pool by the organisations that are left out of it; empty if there are none, or if Owner is set.
	//
	// Whatever is cached under a pool was made by organisations outside that set and is used only while the same set is in force. So no
	// history is needed: all daemons that know a configuration agree, also after a restart or without the platform's store.
	Pool string
	// Homes is the digest of the homes of the requests; empty without homes. Parts of prompts with homes are not shared with others, whose
	// requests may move them to other regions.
	Homes string
}

// Salt returns a text that differs between scopes.
func (s CacheScope) Salt() string {
	salt := "p." + s.Pool
	if s.Owner != "" {
		salt = "o." + string(s.Owner)
	}
	if s.Homes != "" {
		salt = "h." + s.Homes + "." + salt
	}
	return salt
}

// sharedScope returns the scope of the organisations that aren't isolated.
func sharedScope(organisations map[ident.OrganisationID]*Organisation) CacheScope {
	var isolated []ident.OrganisationID
	for id, o := range organisations {
		if o.Isolated {
			isolated = append(isolated, id)
		}
	}
	if len(isolated) == 0 {
		return CacheScope{}
	}
	slices.Sort(isolated)
	h := sha256.New()
	for _, id := range isolated {
		// The length keeps the IDs apart. A hash never returns an error.
		_ = binary.Write(h, binary.BigEndian, uint64(len(id)))
		_, _ = h.Write([]byte(id))
	}
	return CacheScope{Pool: hex.EncodeToString(h.Sum(nil)[:poolDigestBytes])}
}

// CacheScope returns the scope of an organisation's requests; an empty ID stands for callers without a key. An organisation that the
// configuration doesn't name shares with no other.
func (c *Config) CacheScope(id ident.OrganisationID) CacheScope {
	if id == "" {
		return c.sharedScope
	}
	if o := c.Organisations[id]; o == nil || o.Isolated {
		return CacheScope{Owner: id}
	}
	return c.sharedScope
}

// CacheScopes returns the scopes of all organisations, each once.
func (c *Config) CacheScopes() []CacheScope {
	scopes := []CacheScope{c.sharedScope}
	for id, o := range c.Organisations {
		if o.Isolated {
			scopes = append(scopes, CacheScope{Owner: id})
		}
	}
	return scopes
}

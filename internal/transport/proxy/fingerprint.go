package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
)

// fingerprint returns the hash of what all repeats of the request have in common: method, target, organisation and body. Callers
// choose the rest, such as the ID and the deadline, anew for each attempt. The hash is cryptographic, so that no caller can have
// another one's request refused.
func (c *call) fingerprint() poison.Hash {
	if !c.hasFingerprint {
		c.hasFingerprint, c.wholeHash = true, c.newFingerprint()
	}
	return c.wholeHash
}

// newFingerprint computes the fingerprint, also beside an attempt.
func (c *call) newFingerprint() poison.Hash {
	host := c.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	h := sha256.New()
	for _, field := range []string{c.r.Method, strings.ToLower(host), c.r.URL.RequestURI(), string(c.organisationID())} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(c.body)
	return poison.Hash(binary.BigEndian.Uint64(h.Sum(nil)))
}

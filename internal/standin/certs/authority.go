// Package certs is a stand-in for the certificate authority of an installation. It signs certificates for 127.0.0.1.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// validity is how long before and how long after signing a certificate is valid.
const validity = time.Hour

// pemFileMode lets only the owner read the PEM files, one of which holds a private key.
const pemFileMode = 0o600

// Authority signs certificates. Create it with New.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files holds the paths of the PEM files of a certificate, its private key and the authority's certificate.
type Files struct {
	Cert, Key, CA string
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate(1, "stand-in authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key}, nil
}

func newTemplate(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
	}
}

// Issue signs a certificate for 127.0.0.1, valid for servers and clients, and writes it, its key and the authority's
// certificate to cert.pem, key.pem and ca.pem in the directory, readable by the owner only.
func (a *Authority) Issue(dir string, serial int64) (Files, error) {
	files := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	template := newTemplate(serial, "daemon")
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, err
	}
	for _, block := range []struct {
		file, pemType string
		der           []byte
	}{{files.Cert, "CERTIFICATE", der}, {files.Key, "PRIVATE KEY", keyDER}, {files.CA, "CERTIFICATE", a.cert.Raw}} {
		encoded := pem.EncodeToMemory(&pem.Block{Type: block.pemType, Bytes: block.der})
		if err := os.WriteFile(block.file, encoded, pemFileMode); err != nil {
			return files, err
		}
	}
	return files, nil
}

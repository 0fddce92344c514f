package testnet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Authority is a certificate authority for one test.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Files holds the paths of the PEM files that one process needs for TLS.
type Files struct{ CA, Certificate, Key string }

// certificateLifetime is the validity period of all certificates.
const certificateLifetime = time.Hour

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &Authority{certificate: certificate, key: key}
}

// Issue creates a certificate with the common name, and writes it, its key and the
// authority's certificate to PEM files in dir.
func (a *Authority) Issue(t testing.TB, dir, name string) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(certificateLifetime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := Files{CA: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	for path, block := range map[string]*pem.Block{
		files.CA:          {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

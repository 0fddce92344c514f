package tlsconf_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
	"github.com/cyclamenhoist/cyclamenhoist/internal/tlsconf"
)

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key}
}

func (a *authority) issue(t *testing.T, dir, name string) tlsconf.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotAfter: time.Now().Add(time.Hour), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := tlsconf.Files{CA: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	for path, block := range map[string]*pem.Block{
		files.CA:          {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

func open(t *testing.T, files tlsconf.Files) *tlsconf.Store {
	store, err := tlsconf.New(files, telemetry.NewLogger(io.Discard, "error"))
	require.NoError(t, err)
	return store
}

// greet connects client to server and returns what each side's handshake gave.
func greet(t *testing.T, server, client *tlsconf.Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	secured := server.Listen(listener)
	defer secured.Close()
	go func() {
		if conn, err := secured.Accept(); err == nil {
			_, _ = io.ReadFull(conn, make([]byte, 4))
			_, _ = conn.Write([]byte("hello"))
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := client.Dial(ctx, listener.Addr().String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET / HTTP/1.0\r\n\r\n")); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 5))
	return err
}

func TestOnlyHoldersOfTheSameAuthorityMeet(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := open(t, ours.issue(t, t.TempDir(), "server"))
	require.NoError(t, greet(t, server, open(t, ours.issue(t, t.TempDir(), "client"))))
	require.Error(t, greet(t, server, open(t, theirs.issue(t, t.TempDir(), "stranger"))))
	require.Error(t, greet(t, server, nil), "a plain client must not get through")
}

func TestReloadKeepsTheFormerFilesWhenNewOnesAreFaulty(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	files := ours.issue(t, dir, "server")
	server, client := open(t, files), open(t, ours.issue(t, t.TempDir(), "client"))

	require.NoError(t, os.WriteFile(files.Certificate, []byte("nonsense"), 0o600))
	require.ErrorIs(t, server.Reload(), tlsconf.ErrFiles)
	require.NoError(t, greet(t, server, client))

	theirs.issue(t, dir, "server")
	require.NoError(t, server.Reload())
	require.Error(t, greet(t, server, client))
}

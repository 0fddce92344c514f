// Package tlsconf configures mutual TLS and reloads its files when they change.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/fsnotify/fsnotify"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

var (
	// ErrFiles means that the certificate files can't be read or parsed, that the
	// key doesn't match the certificate, or that a server sent no certificate.
	ErrFiles = errors.New("certificate files")
	// ErrWatch means that the files can't be watched for changes.
	ErrWatch = errors.New("watch certificate files")
)

// Files names the PEM files of one process.
type Files struct {
	CA, Certificate, Key string
}

type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// Store holds the newest valid certificate, key and CA.
type Store struct {
	files   Files
	logger  *log.Logger
	current atomic.Pointer[credentials]
}

// New returns a store that has loaded the files, or ErrFiles.
func New(files Files, logger *log.Logger) (*Store, error) {
	s := &Store{files: files, logger: logger}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. If they are invalid, it returns ErrFiles and the
// previous certificates stay in use.
func (s *Store) Reload() error {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Join(ErrFiles, err)
	}
	authority, err := os.ReadFile(s.files.CA)
	if err != nil {
		return errors.Join(ErrFiles, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return errors.Wrap(ErrFiles, "no certificate in "+s.files.CA)
	}
	s.current.Store(&credentials{certificate: certificate, roots: roots})
	return nil
}

// Watch reloads the files on every change in their directories until ctx ends. If
// a reload fails, it logs the error and continues. It returns ErrWatch if the files
// can't be watched.
func (s *Store) Watch(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return errors.Join(ErrWatch, err)
	}
	defer func() { _ = watcher.Close() }()
	// Directories are watched because tools replace certificate files by renaming.
	for _, name := range []string{s.files.CA, s.files.Certificate, s.files.Key} {
		if err := watcher.Add(filepath.Dir(name)); err != nil {
			return errors.Join(ErrWatch, err)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-watcher.Events:
			s.reloadAndLog()
		case err := <-watcher.Errors:
			s.logger.Warn().Err(err).Msg("certificate_watch_failed")
		}
	}
}

func (s *Store) reloadAndLog() {
	if err := s.Reload(); err != nil {
		s.logger.Warn().Err(err).Msg("certificate_reload_failed")
		return
	}
	s.logger.Debug().Msg("certificate_reloaded")
}

// Server returns the configuration of a listener that requires every client to
// present a certificate signed by the CA.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.roots,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns the configuration of one connection to a server whose certificate
// must be signed by the CA. The host name isn't verified: certificates name processes
// and not addresses, because instances are addressed by IP and replaced often.
func (s *Store) Client() *tls.Config {
	m := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		// VerifyConnection verifies the chain against the CA; only the
		// verification of the host name is skipped.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, m.roots)
		},
	}
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrFiles, "server sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}

// Listen wraps a listener in TLS. With a nil store it returns the listener itself.
func (s *Store) Listen(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.Server())
}

// Dial connects to address over TLS, or over plain TCP if the store is nil.
func (s *Store) Dial(ctx context.Context, address string) (net.Conn, error) {
	if s == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: s.Client()}).DialContext(ctx, "tcp", address)
}

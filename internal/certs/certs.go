// Package certs loads the certificate of an entry process and builds the TLS configurations for its connections.
//
// A Store reads a certificate chain, its private key and the certificates of the certificate authorities from three PEM
// files. It reads the files again on handshakes, at most once per second, so that renewed files take effect without a
// restart. If the files cannot be used, the last valid ones stay in force, because files that are just being replaced
// must not disconnect a process.
//
// A change does not close open connections. Sessions between processes are never resumed, because a resumed session
// would skip the check against the certificate authorities in force.
//
// # Usage
//
//	store, err := certs.Load(certs.Files{Certificate: "entry-1.pem", Key: "entry-1.key", Authority: "authority.pem"})
//	if err != nil {
//		return err
//	}
//	callers := tls.NewListener(listener, store.CallerConfig())
//	peers := tls.NewListener(peerListener, store.PeerConfig())
//	conn := tls.Client(raw, store.DialConfig("entry-2", address.Addr()))
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

// reloadInterval is the minimum time between two reads of the files. It bounds the cost of a burst of handshakes.
const reloadInterval = time.Second

// Errors of this package.
var (
	namespace = errorx.NewNamespace("certs")
	// ErrFile is the error type for a file that cannot be read or parsed.
	ErrFile = namespace.NewType("file")
	// ErrPair is the error type for a certificate that does not match its key or that is not currently valid under
	// the certificate authorities.
	ErrPair = namespace.NewType("pair")
	// ErrPeer is the error type for a peer whose certificate is not accepted.
	ErrPeer = namespace.NewType("peer")
)

// Files holds the paths of the PEM files.
type Files struct {
	// Certificate is the file with the certificate of the process, followed by any intermediate certificates.
	Certificate string
	// Key is the file with the private key of the certificate.
	Key string
	// Authority is the file with the certificates of the certificate authorities that sign those of all processes.
	Authority string
}

// Store holds the certificate and the certificate authorities in force, and reloads them when the files change. It is
// safe for concurrent use.
type Store struct {
	files    Files
	clock    clock.Clock
	log      zerolog.Logger
	failures atomic.Uint64
	current  atomic.Pointer[material]

	mu        sync.Mutex
	checkedAt time.Time
	// lastLogged is the message of the last logged failure, "" after a successful reload.
	lastLogged string
}

// Option configures a Store.
type Option func(*Store)

// WithLog sets the logger of reloads. The default logs nothing.
func WithLog(log zerolog.Logger) Option {
	return func(s *Store) { s.log = log }
}

// WithClock sets the clock that measures the time between two reads of the files. The validity of certificates is
// always checked against the wall clock.
func WithClock(c clock.Clock) Option {
	return func(s *Store) { s.clock = c }
}

// Load returns a Store with the content of the files. It returns ErrFile if one of them cannot be read or parsed, and
// ErrPair if the certificate does not match the key or is not valid under the certificate authorities.
func Load(files Files, options ...Option) (*Store, error) {
	s := &Store{files: files, clock: clock.System(), log: zerolog.Nop()}
	for _, o := range options {
		o(s)
	}
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	s.checkedAt = s.clock.Now()
	return s, nil
}

// Failures returns the number of reloads that have failed since Load.
func (s *Store) Failures() uint64 {
	return s.failures.Load()
}

// Expiry returns the time at which the certificate in force expires.
func (s *Store) Expiry() time.Time {
	return s.current.Load().pair.Leaf.NotAfter
}

// refresh reloads the files if the last read is at least reloadInterval old, and returns the material in force.
func (s *Store) refresh() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.checkedAt) < reloadInterval {
		return s.current.Load()
	}
	s.checkedAt = now
	s.reload()
	return s.current.Load()
}

// reload reads the files and puts their content in force if it is valid and has changed.
func (s *Store) reload() {
	m, err := read(s.files)
	if err != nil {
		s.recordFailure(err)
		return
	}
	s.lastLogged = ""
	if m.digest == s.current.Load().digest {
		return
	}
	s.current.Store(m)
	s.log.Info().Str("certificate", s.files.Certificate).Time("expiry", m.pair.Leaf.NotAfter).Msg("certificate reloaded")
}

// recordFailure counts a failed reload. It logs the error unless the last logged failure had the same message.
func (s *Store) recordFailure(err error) {
	s.failures.Add(1)
	if err.Error() == s.lastLogged {
		return
	}
	s.lastLogged = err.Error()
	s.log.Error().Err(err).Msg("certificate reload failed")
}

// material is the parsed content of the files.
type material struct {
	pair      tls.Certificate
	authority *x509.CertPool
	digest    [32]byte
}

// Package certs holds the certificate of an entry process and builds the TLS configurations for its
// connections.
//
// A Store reads a certificate chain, its private key and the certificates of the authority from
// three PEM files. It reads them again on handshakes, at most once in a second, so that renewed
// files come into force without a restart. Files that can't be used leave the last good
// ones in force: a file that is being replaced must not cut a process off.
//
// Connections that are already open stay open after a change. Sessions between processes are never resumed,
// since a resumed session would skip the check against the authority in force.
//
// # Usage
//
//	store, err := certs.Load(certs.Files{Certificate: "entry-1.pem", Key: "entry-1.key", Authority: "authority.pem"})
//	if err != nil {
//		return err
//	}
//	callers := tls.NewListener(listener, store.Callers())
//	peers := tls.NewListener(peerListener, store.Peers())
//	conn := tls.Client(raw, store.Dial("entry-2", address.Addr()))
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

// lookInterval is the shortest time between two looks at the files. It bounds the cost of a burst of
// handshakes.
const lookInterval = time.Second

// Errors of this package.
var (
	namespace = errorx.NewNamespace("certs")
	// ErrFile is the type of errors of a file that can't be read or parsed.
	ErrFile = namespace.NewType("file")
	// ErrPair is the type of errors of a certificate that doesn't match its key, or that is not valid
	// under the authority at the present time.
	ErrPair = namespace.NewType("pair")
	// ErrPeer is the type of errors of a peer whose certificate is not accepted.
	ErrPeer = namespace.NewType("peer")
)

// Files are the paths of the PEM files.
type Files struct {
	// Certificate is the certificate of the process, followed by intermediate certificates if any.
	Certificate string
	// Key is the private key of the certificate.
	Key string
	// Authority holds the certificates of the authorities that sign the certificates of all processes.
	Authority string
}

// Store holds the certificate in force. It is safe for concurrent use.
type Store struct {
	files    Files
	clock    clock.Clock
	log      zerolog.Logger
	failures atomic.Uint64
	current  atomic.Pointer[material]

	mu       sync.Mutex
	lookedAt time.Time
	// logged is the message of the last failure that was logged, "" after a success.
	logged string
}

// Option changes a Store.
type Option func(*Store)

// WithLog sets the logger of reloads. The default logs nothing.
func WithLog(log zerolog.Logger) Option {
	return func(s *Store) { s.log = log }
}

// WithClock sets the clock that counts the time between two looks at the files. The validity of
// certificates is always checked by the wall clock.
func WithClock(c clock.Clock) Option {
	return func(s *Store) { s.clock = c }
}

// Load reads the files. It returns ErrFile where one of them can't be read or parsed, and ErrPair
// where the certificate doesn't match the key or isn't valid under the authority.
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
	s.lookedAt = s.clock.Now()
	return s, nil
}

// Failures returns the number of reloads that failed since the start.
func (s *Store) Failures() uint64 {
	return s.failures.Load()
}

// Expiry returns the time at which the certificate in force expires.
func (s *Store) Expiry() time.Time {
	return s.current.Load().pair.Leaf.NotAfter
}

// latest looks at the files where the last look is old, and returns what is in force.
func (s *Store) latest() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.lookedAt) < lookInterval {
		return s.current.Load()
	}
	s.lookedAt = now
	s.reload()
	return s.current.Load()
}

// reload reads the files and puts them in force where they are good and have changed.
func (s *Store) reload() {
	m, err := read(s.files)
	if err != nil {
		s.fail(err)
		return
	}
	s.logged = ""
	if m.digest == s.current.Load().digest {
		return
	}
	s.current.Store(m)
	s.log.Info().Str("certificate", s.files.Certificate).Time("expiry", m.pair.Leaf.NotAfter).Msg("certificate reloaded")
}

// fail counts a failure and logs it, once for each message.
func (s *Store) fail(err error) {
	s.failures.Add(1)
	if err.Error() == s.logged {
		return
	}
	s.logged = err.Error()
	s.log.Error().Err(err).Msg("certificate reload failed")
}

// material is the content of the files.
type material struct {
	pair      tls.Certificate
	authority *x509.CertPool
	digest    [32]byte
}

package node

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/certs"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/peer"
)

// loadCertificates reads the certificate files where the settings name them.
func (n *Node) loadCertificates() error {
	t := n.settings.TLS
	if !t.Enabled() {
		return nil
	}
	files := certs.Files{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}
	store, err := certs.Load(files, certs.WithLog(n.log), certs.WithClock(n.clock))
	n.certs = store
	return err
}

// newLink returns a link to another process. Its first connection is opened after Start.
func (n *Node) newLink(p conf.Peer) *peer.Link {
	if !n.settings.TLS.Enabled() {
		return peer.NewLink(p.Address)
	}
	return peer.NewLink(p.Address, peer.WithLinkTLS(func() *tls.Config {
		return n.certs.DialConfig(string(p.Name), p.Address.Addr())
	}))
}

// serverOptions returns the options of the peer server. Refused connections are logged, at most one
// in a second.
func (n *Node) serverOptions() []peer.ServerOption {
	if n.certs == nil {
		return nil
	}
	// Peers with a wrong certificate try again at each heartbeat.
	log := n.log.Sample(&zerolog.BurstSampler{Burst: 1, Period: time.Second})
	refused := func(address net.Addr, err error) {
		log.Warn().Stringer("from", address).Err(err).Msg("peer connection refused")
	}
	return []peer.ServerOption{peer.WithServerTLS(n.certs.PeerConfig(), refused)}
}

// callerTLS returns the configuration towards callers, nil for plain text.
func (n *Node) callerTLS() *tls.Config {
	if n.certs == nil || !n.settings.TLS.Callers {
		return nil
	}
	return n.certs.CallerConfig()
}

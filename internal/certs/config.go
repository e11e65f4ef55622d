package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
)

// CallerConfig returns the configuration of a server for callers. It presents the certificate in force at
// each handshake, asks for no client certificate and takes TLS 1.2 and up.
func (s *Store) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.latest().pair, nil
		},
	}
}

// PeerConfig returns the configuration of a server for other entry processes. It takes TLS 1.3 only and
// requires a client certificate that is valid under the authority in force.
func (s *Store) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Only the configuration below is used. These two keep the server closed if that ever changes.
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  x509.NewCertPool(),
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.latest()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{m.pair},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.authority,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// DialConfig returns the configuration of one connection to the entry process of that name at the address.
// It presents the certificate in force and takes TLS 1.3 only. The peer's certificate must be valid
// under the authority in force and for the address or the name; otherwise the handshake returns an
// error of type ErrPeer. With an empty name only the address counts.
func (s *Store) DialConfig(name string, address netip.Addr) *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.pair},
		ServerName:   name,
		// The library's check takes one name only, so VerifyConnection makes the whole check.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state.PeerCertificates, m.authority, name, address)
		},
	}
}

// verifyPeer checks the certificate of a dialed peer.
func verifyPeer(chain []*x509.Certificate, authority *x509.CertPool, name string, address netip.Addr) error {
	if len(chain) == 0 {
		return ErrPeer.New("peer %s (%s) sent no certificate; set section [tls] in its process file", name, address)
	}
	leaf := chain[0]
	if err := verify(leaf, chain[1:], authority, x509.ExtKeyUsageServerAuth); err != nil {
		return ErrPeer.Wrap(err, "give peer %s (%s) a certificate of the authority that is valid now", name, address)
	}
	if leaf.VerifyHostname(address.Unmap().WithZone("").String()) == nil {
		return nil
	}
	if name != "" && leaf.VerifyHostname(name) == nil {
		return nil
	}
	return ErrPeer.New("give peer %s (%s) a certificate with its address or its name as subject alternative name", name, address)
}

package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
)

// CallerConfig returns the TLS configuration of the server for callers. The server presents the certificate in force at each
// handshake, does not request a client certificate and accepts TLS 1.2 and later.
func (s *Store) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.refresh().pair, nil
		},
	}
}

// PeerConfig returns the TLS configuration of the server for other entry processes. The server accepts only TLS 1.3 and
// requires a client certificate that is valid under the certificate authorities in force.
func (s *Store) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// GetConfigForClient replaces this configuration on each handshake. If it were not called, these two fields
		// would make the server reject every client.
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  x509.NewCertPool(),
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.refresh()
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

// DialConfig returns the TLS configuration of one client connection to the entry process with this name and address. The
// client presents the certificate in force and accepts only TLS 1.3. The certificate of the peer must be valid under the
// certificate authorities in force and must contain the address or the name; otherwise the handshake returns an error of
// type ErrPeer. If the name is empty, only the address is compared.
func (s *Store) DialConfig(name string, address netip.Addr) *tls.Config {
	m := s.refresh()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.pair},
		ServerName:   name,
		// The verification in crypto/tls accepts a single name, so VerifyConnection does all of it instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state.PeerCertificates, m.authority, name, address)
		},
	}
}

// verifyPeer checks that the certificate of a dialed peer is valid and contains its address or its name.
func verifyPeer(chain []*x509.Certificate, authority *x509.CertPool, name string, address netip.Addr) error {
	if len(chain) == 0 {
		return ErrPeer.New("peer %s (%s) sent no certificate; set section [tls] in its process file", name, address)
	}
	leaf := chain[0]
	if err := verify(leaf, chain[1:], authority, x509.ExtKeyUsageServerAuth); err != nil {
		return ErrPeer.Wrap(err, "the certificate of peer %s (%s) is not valid; give the peer a certificate of the authority that is valid now", name, address)
	}
	if leaf.VerifyHostname(address.Unmap().WithZone("").String()) == nil {
		return nil
	}
	if name != "" && leaf.VerifyHostname(name) == nil {
		return nil
	}
	return ErrPeer.New("the certificate of peer %s (%s) contains neither its address nor its name; add one of them as subject alternative name", name, address)
}

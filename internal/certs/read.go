package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
)

// read reads the files and checks that peers will accept the certificate.
func read(files Files) (*material, error) {
	var contents [3][]byte
	for i, path := range []string{files.Certificate, files.Key, files.Authority} {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, ErrFile.Wrap(err, "cannot read %s; make the file readable for the process, or correct section [tls]", path)
		}
		contents[i] = content
	}
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, ErrPair.Wrap(err, "the certificate and the key are not a valid pair; put a PEM certificate in %s and its PEM key in %s", files.Certificate, files.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[2]) {
		return nil, ErrFile.New("there is no certificate authority; put at least one PEM certificate of the authority in %s", files.Authority)
	}
	// A process is the server of some connections to its peers and the client of others, so the certificate must be
	// valid for both usages.
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := verify(pair.Leaf, intermediates(pair), pool, usage); err != nil {
			return nil, ErrPair.Wrap(err, "the certificate is not valid; put one for servers and clients in %s that an authority in %s has signed and that is valid now",
				files.Certificate, files.Authority)
		}
	}
	return &material{pair: pair, authority: pool, digest: digest(contents)}, nil
}

// digest returns a hash of the content of the files. Unlike modification times and sizes, it detects every change.
func digest(contents [3][]byte) [32]byte {
	var sums []byte
	for _, content := range contents {
		sum := sha256.Sum256(content)
		sums = append(sums, sum[:]...)
	}
	return sha256.Sum256(sums)
}

// intermediates returns the certificates between the leaf and the certificate authority. It leaves out those that cannot
// be parsed, so the verification rejects a chain that needs them.
func intermediates(pair tls.Certificate) []*x509.Certificate {
	var chain []*x509.Certificate
	for _, raw := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(raw); err == nil {
			chain = append(chain, c)
		}
	}
	return chain
}

// verify checks that a certificate is currently valid under the certificate authorities for a usage.
func verify(leaf *x509.Certificate, chain []*x509.Certificate, authority *x509.CertPool, usage x509.ExtKeyUsage) error {
	pool := x509.NewCertPool()
	for _, c := range chain {
		pool.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: pool,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
)

// read reads and checks the files.
func read(files Files) (*material, error) {
	var texts [3][]byte
	for i, path := range []string{files.Certificate, files.Key, files.Authority} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, ErrFile.Wrap(err, "make the file %s readable for the process, or correct section [tls]", path)
		}
		texts[i] = text
	}
	pair, err := tls.X509KeyPair(texts[0], texts[1])
	if err != nil {
		return nil, ErrPair.Wrap(err, "put a PEM certificate in %s and its own PEM key in %s", files.Certificate, files.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(texts[2]) {
		return nil, ErrFile.New("put at least one PEM certificate of the authority in %s", files.Authority)
	}
	// A process is the server of some connections to its peers and the client of others.
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := verify(pair.Leaf, intermediates(pair), pool, usage); err != nil {
			return nil, ErrPair.Wrap(err, "put a certificate for servers and clients in %s that an authority in %s has signed and that is valid now",
				files.Certificate, files.Authority)
		}
	}
	return &material{pair: pair, authority: pool, digest: digest(texts)}, nil
}

// digest identifies the content of the files. Comparing contents finds a change that keeps the time
// and the size of a file.
func digest(texts [3][]byte) [32]byte {
	var all []byte
	for _, text := range texts {
		sum := sha256.Sum256(text)
		all = append(all, sum[:]...)
	}
	return sha256.Sum256(all)
}

// intermediates returns the certificates between the leaf and the authority. Those that can't be
// parsed are left out, so a chain that needs them is refused.
func intermediates(pair tls.Certificate) []*x509.Certificate {
	var chain []*x509.Certificate
	for _, raw := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(raw); err == nil {
			chain = append(chain, c)
		}
	}
	return chain
}

// verify checks a certificate against the authority at the present time.
func verify(leaf *x509.Certificate, chain []*x509.Certificate, authority *x509.CertPool, usage x509.ExtKeyUsage) error {
	between := x509.NewCertPool()
	for _, c := range chain {
		between.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

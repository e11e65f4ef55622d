// Package testca creates certificates for tests: a certificate authority, and certificates signed by
// it, in memory or as PEM files. It does not protect its private keys, so only tests may use it.
//
// # Usage
//
//	authority, err := testca.New()
//	files, err := authority.Write(folder, testca.Request{Name: "entry-1", Addresses: []netip.Addr{address}})
//	store, err := certs.Load(files)
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/certs"
)

// validity is how long a certificate is valid if its request has no NotAfter.
const validity = time.Hour

// serialBits is the size of the random serial numbers, large enough that they do not repeat.
const serialBits = 64

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Request describes a certificate.
type Request struct {
	// Name is the common name and, if it is not empty, a DNS name of the certificate.
	Name string
	// Addresses are the IP addresses of the certificate.
	Addresses []netip.Addr
	// NotAfter is the end of the validity period, an hour from now by default. The period begins two
	// hours before NotAfter.
	NotAfter time.Time
	// Usages are the extended key usages, server and client authentication by default.
	Usages []x509.ExtKeyUsage
}

// Pair is a certificate and its private key, PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// New returns a new Authority with a new key. It returns errors of packages ecdsa, rand and x509.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(Request{Name: "test authority"})
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.ExtKeyUsage = nil
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// PEM returns the PEM-encoded certificate of the authority.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Pool returns a certificate pool that contains only the authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Issue creates a key and signs a certificate for it. It returns errors of packages ecdsa, rand and
// x509.
func (a *Authority) Issue(r Request) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(r)
	if err != nil {
		return Pair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// Write issues a certificate and writes the certificate, its key and the authority's certificate to
// files in the folder, named after r.Name. It overwrites existing files.
func (a *Authority) Write(folder string, r Request) (certs.Files, error) {
	files := certs.Files{
		Certificate: filepath.Join(folder, r.Name+".pem"),
		Key:         filepath.Join(folder, r.Name+".key"),
		Authority:   filepath.Join(folder, r.Name+"-authority.pem"),
	}
	pair, err := a.Issue(r)
	if err != nil {
		return files, err
	}
	if err := os.WriteFile(files.Certificate, pair.Certificate, 0o600); err != nil {
		return files, err
	}
	if err := os.WriteFile(files.Key, pair.Key, 0o600); err != nil {
		return files, err
	}
	return files, os.WriteFile(files.Authority, a.PEM(), 0o600)
}

func newTemplate(r Request) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if r.NotAfter.IsZero() {
		r.NotAfter = now.Add(validity)
	}
	if r.Usages == nil {
		r.Usages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: r.Name},
		NotBefore:    r.NotAfter.Add(-2 * validity),
		NotAfter:     r.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  r.Usages,
	}
	if r.Name != "" {
		template.DNSNames = []string{r.Name}
	}
	for _, a := range r.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(a.AsSlice()))
	}
	return template, nil
}

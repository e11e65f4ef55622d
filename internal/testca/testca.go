// Package testca makes certificates for tests: an authority of its own, and certificates signed by
// it, in memory and as PEM files. It keeps nothing secret, so only tests may use it.
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

// validity is how long a certificate is valid where its request doesn't tell.
const validity = time.Hour

// serialBits is the size of serial numbers, which keeps them from repeating.
const serialBits = 64

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Request describes a certificate.
type Request struct {
	// Name is the common name and, where it isn't empty, a DNS name of the certificate.
	Name string
	// Addresses are the IP addresses of the certificate.
	Addresses []netip.Addr
	// NotAfter is the end of its validity, an hour from now by default. The validity begins two hours
	// before it.
	NotAfter time.Time
	// Usages are its extended key usages, server and client by default.
	Usages []x509.ExtKeyUsage
}

// Pair is a certificate and its private key in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// New returns a new Authority. Its errors are those of the source of randomness.
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
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// PEM returns the certificate of the authority.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Pool returns a pool that holds the authority alone.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Issue signs a certificate for a new key. Its errors are those of package x509.
func (a *Authority) Issue(r Request) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(r)
	if err != nil {
		return Pair{}, err
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}),
	}, nil
}

// Write signs a certificate and writes it, its key and the authority to files in the folder, named
// after the request. Earlier files are replaced.
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

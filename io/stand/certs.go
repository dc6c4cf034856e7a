// Package stand holds stand-ins for the environment of the system in tests and
// benchmarks: the platform, upstreams, the network fabric in front of the balancers,
// and a certificate authority. Product processes do not use it.
package stand

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"lagoondrum/io/trust"
)

const certLifetime = 24 * time.Hour

// Authority is a certificate authority that writes what it issues to a directory.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// NewAuthority returns an authority with a new self-signed certificate, which it
// writes to dir/ca.pem.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tmpl := template("lagoondrum stand-in authority")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	aut := &Authority{cert: cert, key: key, dir: dir}
	return aut, writePEM(aut.file("ca"), "CERTIFICATE", der)
}

// Issue issues a certificate for a common name and DNS names. It writes the
// certificate to dir/NAME.pem and its private key to dir/NAME.key.pem.
func (aut *Authority) Issue(name string, dnsNames ...string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.WithStack(err)
	}
	tmpl := template(name)
	tmpl.DNSNames = dnsNames
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, aut.cert, &key.PublicKey, aut.key)
	if err != nil {
		return errors.WithStack(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := writePEM(aut.file(name), "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(aut.file(name+".key"), "PRIVATE KEY", raw)
}

// Files returns the certificate, key and CA files in dir of an issued name.
func Files(dir, name string) trust.Files {
	pemPath := func(base string) string { return filepath.Join(dir, base+".pem") }
	return trust.NewFiles(pemPath(name), pemPath(name+".key"), pemPath("ca"), pemPath("ca"))
}

func (aut *Authority) file(name string) string { return filepath.Join(aut.dir, name+".pem") }

// template returns what all certificates have in common.
func template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62)) // rand.Reader never returns an error.
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func writePEM(file, kind string, der []byte) error {
	raw := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.WithStack(os.WriteFile(file, raw, 0o600))
}

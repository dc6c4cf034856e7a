// Package trust loads the certificates by which the processes know each other
// and their callers.
package trust

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ServerName is the name in the certificate of every process of the system.
// Processes are reached by IP number, so the name says what they are.
const ServerName = "lagoondrum"

// Files names the files of a process's identity, all in PEM.
type Files struct {
	cert     string
	key      string
	ca       string
	callerCA string
}

// NewFiles returns the files of an identity.
func NewFiles(cert, key, ca, callerCA string) Files {
	return Files{cert: cert, key: key, ca: ca, callerCA: callerCA}
}

// Identity is a loaded certificate with the authorities it trusts.
type Identity struct {
	cert    tls.Certificate
	peers   *x509.CertPool
	callers *x509.CertPool
}

// LoadError reports a certificate file that cannot be used.
type LoadError struct {
	file  string
	cause error
}

// NoCertificateError reports a file without a certificate in PEM.
type NoCertificateError struct{}

// Load reads an identity. The error is a *LoadError.
func Load(fls Files) (*Identity, error) {
	cert, err := tls.LoadX509KeyPair(fls.cert, fls.key)
	if err != nil {
		return nil, &LoadError{fls.cert, err}
	}
	peers, err := loadPool(fls.ca)
	if err != nil {
		return nil, err
	}
	callers, err := loadPool(fls.callerCA)
	if err != nil {
		return nil, err
	}
	return &Identity{cert: cert, peers: peers, callers: callers}, nil
}

func loadPool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &LoadError{file, errors.WithStack(err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, &LoadError{file, NoCertificateError{}}
	}
	return pool, nil
}

// ForCallers returns the server side towards callers.
func (idn *Identity) ForCallers() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{idn.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    idn.callers,
		MinVersion:   tls.VersionTLS13,
	}
}

// Caller returns the client side of a caller.
func (idn *Identity) Caller() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{idn.cert},
		RootCAs:      idn.peers,
		ServerName:   ServerName,
		MinVersion:   tls.VersionTLS13,
	}
}

// ForPeers returns the server side towards other processes of the system: only
// a certificate with the system's own name is let in.
func (idn *Identity) ForPeers() *tls.Config {
	return &tls.Config{
		Certificates:     []tls.Certificate{idn.cert},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        idn.peers,
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: requireServerName,
	}
}

// Peer returns the client side towards other processes of the system.
func (idn *Identity) Peer() *tls.Config { return idn.Caller() }

// NotPeerError reports a certificate that is not one of the system's processes.
type NotPeerError struct{ name string }

func requireServerName(state tls.ConnectionState) error {
	leaf := state.PeerCertificates[0]
	if err := leaf.VerifyHostname(ServerName); err != nil {
		return &NotPeerError{leaf.Subject.CommonName}
	}
	return nil
}

func (err *LoadError) Error() string { return err.file + ": " + err.cause.Error() }

// Unwrap returns what went wrong with the file.
func (err *LoadError) Unwrap() error { return err.cause }

func (NoCertificateError) Error() string { return "holds no certificate" }

func (err *NotPeerError) Error() string { return err.name + " is not a process of the system" }

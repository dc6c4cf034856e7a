// Package trust loads the certificates with which processes authenticate each other
// and their callers.
package trust

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ServerName is the name in the certificate of every process of the system. Processes
// are dialed by IP address, so the name states the system instead of a host.
const ServerName = "lagoondrum"

// Files holds the paths of the PEM files of an identity.
type Files struct {
	cert     string
	key      string
	ca       string // Authority of the system's processes.
	callerCA string // Authority of the callers.
}

// NewFiles returns the paths of the files of an identity.
func NewFiles(cert, key, ca, callerCA string) Files {
	return Files{cert: cert, key: key, ca: ca, callerCA: callerCA}
}

// Identity is the certificate of a process with the authorities that it trusts.
type Identity struct {
	cert    tls.Certificate
	peers   *x509.CertPool // Authorities of the system's processes.
	callers *x509.CertPool // Authorities of the callers.
}

// LoadError reports a file of an identity that cannot be used.
type LoadError struct {
	file  string
	cause error
}

// NoCertificateError reports a file that contains no PEM certificate.
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

// ForCallers returns the configuration of a server for callers. It requires a client
// certificate of the callers' authority.
func (idn *Identity) ForCallers() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{idn.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    idn.callers,
		MinVersion:   tls.VersionTLS13,
	}
}

// Caller returns the configuration of a caller's connections to the system's
// processes.
func (idn *Identity) Caller() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{idn.cert},
		RootCAs:      idn.peers,
		ServerName:   ServerName,
		MinVersion:   tls.VersionTLS13,
	}
}

// ForPeers returns the configuration of a server for other processes of the system. It
// accepts only client certificates of the system's authority with the name ServerName.
func (idn *Identity) ForPeers() *tls.Config {
	return &tls.Config{
		Certificates:     []tls.Certificate{idn.cert},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        idn.peers,
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: requireServerName,
	}
}

// Peer returns the configuration of connections to other processes of the system.
func (idn *Identity) Peer() *tls.Config { return idn.Caller() }

// NotPeerError reports a client certificate without the name ServerName, which is not
// that of a process of the system.
type NotPeerError struct{ commonName string }

func requireServerName(state tls.ConnectionState) error {
	leaf := state.PeerCertificates[0]
	if err := leaf.VerifyHostname(ServerName); err != nil {
		return &NotPeerError{leaf.Subject.CommonName}
	}
	return nil
}

func (err *LoadError) Error() string { return err.file + ": " + err.cause.Error() }

// Unwrap returns the reason why the file cannot be used.
func (err *LoadError) Unwrap() error { return err.cause }

func (NoCertificateError) Error() string { return "contains no PEM certificate" }

func (err *NotPeerError) Error() string {
	return err.commonName + ": certificate lacks the name of the system's processes"
}

package pki

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// Credentials names the files that one agent or operator uses for its TLS connections.
type Credentials struct {
	CertificateFile string           // the holder's certificate and key
	TrustedFile     string           // certificates of the authority
	Now             func() time.Time // time at which certificates are verified
}

// Credentials returns the credentials of an agent or operator, with the paths of its files in the folder. The files need
// not exist yet.
func (f Folder) Credentials(role Role, name string) Credentials {
	return Credentials{CertificateFile: f.CertificateFile(role, name), TrustedFile: f.TrustedFile(), Now: time.Now}
}

// loadedCredentials is the parsed content of the files, as read at one time.
type loadedCredentials struct {
	own     tls.Certificate
	trusted *x509.CertPool
}

func (c Credentials) load() (loadedCredentials, error) {
	own, err := loadKeyPair(c.CertificateFile)
	if err != nil {
		return loadedCredentials{}, fmt.Errorf("own certificate: %w", err)
	}
	content, err := os.ReadFile(c.TrustedFile)
	if err != nil {
		return loadedCredentials{}, fmt.Errorf("certificates of the authority: %w", err)
	}
	certificates, err := parseCertificates(c.TrustedFile, content)
	if err != nil {
		return loadedCredentials{}, err
	}
	if len(certificates) == 0 {
		return loadedCredentials{}, fmt.Errorf("%s: the file contains no certificate", c.TrustedFile)
	}
	trusted := x509.NewCertPool()
	for _, certificate := range certificates {
		trusted.AddCert(certificate)
	}
	return loadedCredentials{own: own, trusted: trusted}, nil
}

// Check returns an error if the files cannot be read, or if the holder's certificate is not valid now or not issued by a
// trusted authority. The error for such a certificate is a *CertificateError.
func (c Credentials) Check() error {
	loaded, err := c.load()
	if err != nil {
		return err
	}
	anybody := Identity{}
	return verify(loaded.trusted, []*x509.Certificate{loaded.own.Leaf}, anybody, c.Now())
}

// ServerConfig returns the TLS configuration of an agent's listener. The files are read for each connection, and the
// client must present a valid certificate of an operator. onReject, if not nil, is called with the error of each
// rejected connection, from the goroutine of that connection.
func (c Credentials) ServerConfig(onReject func(error)) *tls.Config {
	reject := func(err error) error {
		if onReject != nil {
			onReject(err)
		}
		return err
	}
	configForClient := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		loaded, err := c.load()
		if err != nil {
			return nil, reject(err)
		}
		verifyConnection := func(connection tls.ConnectionState) error {
			anyOperator := Identity{Role: Operator}
			if err := verify(loaded.trusted, connection.PeerCertificates, anyOperator, c.Now()); err != nil {
				return reject(err)
			}
			return nil
		}
		return &tls.Config{
			MinVersion:             tls.VersionTLS13,
			Certificates:           []tls.Certificate{loaded.own},
			SessionTicketsDisabled: true,
			ClientAuth:             tls.RequireAnyClientCert,
			NextProtos:             []string{"http/1.1"},
			VerifyConnection:       verifyConnection,
		}, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: configForClient}
}

// ClientConfig reads the files and returns the TLS configuration for one connection of an operator to the named agent.
// The connection fails with a *CertificateError if the server does not present a valid certificate of that agent.
func (c Credentials) ClientConfig(agent string) (*tls.Config, error) {
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	verifyConnection := func(connection tls.ConnectionState) error {
		return verify(loaded.trusted, connection.PeerCertificates, Identity{Role: Agent, Name: agent}, c.Now())
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{loaded.own},
		// Certificates hold no host names. verifyConnection checks the chain and the identity of the agent.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyConnection,
	}, nil
}

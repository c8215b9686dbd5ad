package pki

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// Credentials are the files with which one agent or operator makes and accepts connections.
type Credentials struct {
	CertificateFile string           // its own certificate and key
	TrustedFile     string           // the authority's certificates
	Now             func() time.Time // the clock by which certificates are valid
}

// Credentials are those of one agent or operator whose files lie in the folder. The files need not exist yet.
func (f Folder) Credentials(role Role, name string) Credentials {
	return Credentials{CertificateFile: f.CertificateFile(role, name), TrustedFile: f.TrustedFile(), Now: time.Now}
}

// loadedCredentials are the files' content at one moment.
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
		return loadedCredentials{}, fmt.Errorf("the authority's certificates: %w", err)
	}
	certificates, err := parseCertificates(c.TrustedFile, content)
	if err != nil {
		return loadedCredentials{}, err
	}
	if len(certificates) == 0 {
		return loadedCredentials{}, fmt.Errorf("%s: no certificate in it", c.TrustedFile)
	}
	trusted := x509.NewCertPool()
	for _, certificate := range certificates {
		trusted.AddCert(certificate)
	}
	return loadedCredentials{own: own, trusted: trusted}, nil
}

// Check tells whether the files can be used now: they can be read, and the own certificate is valid and of a trusted
// authority. A certificate that is not is reported as a *CertificateError.
func (c Credentials) Check() error {
	loaded, err := c.load()
	if err != nil {
		return err
	}
	anybody := Identity{}
	return verify(loaded.trusted, []*x509.Certificate{loaded.own.Leaf}, anybody, c.Now())
}

// ServerConfig is the TLS configuration of an agent's listener. Each connection is served with the files as they are
// then, and its client must present a valid operator's certificate. onReject, if not nil, is called with the error of each
// rejected connection, from that connection's goroutine.
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

// ClientConfig is the TLS configuration for one connection of an operator to the named agent, with the files as they are
// now. The connection fails with a *CertificateError if somebody else answers.
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
		// Host names play no part: verifyConnection checks the chain and the agent's identity.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyConnection,
	}, nil
}

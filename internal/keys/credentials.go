package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Credentials is the files that one program speaks with.
type Credentials struct {
	CertificateFile string // certificate and key
	TrustedFile     string // of the authority
	Now             func() time.Time
}

// Credentials is a folder's for one agent or operator.
func (f Folder) Credentials(r Role, name string) Credentials {
	return Credentials{CertificateFile: f.CertificateFile(r, name), TrustedFile: f.TrustedFile(), Now: time.Now}
}

// read takes the files as they are now.
func (s Credentials) read() (tls.Certificate, *x509.CertPool, error) {
	own, err := loadKeyPair(s.CertificateFile)
	if err != nil {
		return own, nil, fmt.Errorf("own certificate: %w", err)
	}
	raw, err := os.ReadFile(s.TrustedFile)
	if err != nil {
		return own, nil, fmt.Errorf("the authority's certificates: %w", err)
	}
	certs, err := parseCertificates(s.TrustedFile, raw)
	if err != nil {
		return own, nil, err
	}
	if len(certs) == 0 {
		return own, nil, fmt.Errorf("%s: no certificate in it", s.TrustedFile)
	}
	pool := x509.NewCertPool()
	for _, c := range certs {
		pool.AddCert(c)
	}
	return own, pool, nil
}

// Check tells whether the files can be used now.
func (s Credentials) Check() error {
	own, pool, err := s.read()
	if err != nil {
		return err
	}
	_, err = s.verify(pool, []*x509.Certificate{own.Leaf}, "", "")
	return err
}

// ServerConfig is for a listener: each connection is served with the files as they are then, and must show an
// operator's certificate. Refusals are handed to told, if it is not nil.
func (s Credentials) ServerConfig(told func(error)) *tls.Config {
	refuse := func(err error) error {
		if told != nil {
			told(err)
		}
		return err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		own, pool, err := s.read()
		if err != nil {
			return nil, refuse(err)
		}
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, SessionTicketsDisabled: true,
			ClientAuth: tls.RequireAnyClientCert, NextProtos: []string{"http/1.1"},
			VerifyConnection: func(c tls.ConnectionState) error {
				_, err := s.verify(pool, c.PeerCertificates, Operator, "")
				if err != nil {
					return refuse(err)
				}
				return nil
			},
		}, nil
	}}
}

// ClientConfig is for one connection to an agent.
func (s Credentials) ClientConfig(agent string) (*tls.Config, error) {
	own, pool, err := s.read()
	if err != nil {
		return nil, err
	}
	// The names of hosts play no part: what counts is who the agent is.
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, InsecureSkipVerify: true,
		VerifyConnection: func(c tls.ConnectionState) error {
			_, err := s.verify(pool, c.PeerCertificates, Agent, agent)
			return err
		},
	}, nil
}

// verify tells who shows a certificate, or why it is not taken. An empty role or name stands for any.
func (s Credentials) verify(pool *x509.CertPool, shown []*x509.Certificate, role Role, name string) (string, error) {
	if len(shown) == 0 {
		return "", errors.New("no certificate was shown")
	}
	c := shown[0]
	who := c.Subject.CommonName
	_, err := c.Verify(x509.VerifyOptions{Roots: pool, CurrentTime: s.Now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	var foreign x509.UnknownAuthorityError
	switch {
	case s.Now().After(c.NotAfter):
		return "", fmt.Errorf("the certificate of %s ran out on %s", who, c.NotAfter.Format(time.RFC3339))
	case s.Now().Before(c.NotBefore):
		return "", fmt.Errorf("the certificate of %s counts only from %s", who, c.NotBefore.Format(time.RFC3339))
	case errors.As(err, &foreign):
		return "", fmt.Errorf("the certificate of %s is from an authority that is not trusted here", who)
	case err != nil:
		return "", fmt.Errorf("the certificate of %s: %w", who, err)
	}
	isRole, isName := Who(c)
	if role != "" && isRole != role || name != "" && isName != name {
		return "", fmt.Errorf("the certificate is %s's, and should be %s", who, strings.TrimSpace(string(role)+" "+name+"'s"))
	}
	return isName, nil
}

// Package keys makes, renews and uses the certificates of a fleet: an authority of its own, agents and
// operators. Files are read anew for each connection, so what is replaced counts from the next one on.
package keys

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/google/renameio/v2"
)

// Role is what a certificate is for.
type Role string

// Roles.
const (
	Agent    Role = "agent"
	Operator Role = "operator"
)

const (
	trusted   = "authority.pem"     // certificates of the authority: the present one and those before it
	authority = "authority.key.pem" // its present certificate and key; only whoever issues needs it
	scheme    = "stoatdale"
	skew      = 5 * time.Minute // that clocks may differ
)

// Longest is the most that a file of certificates may have, in bytes.
const Longest = 1 << 20

// Folder holds a fleet's keys.
type Folder string

// File is where the certificate and key of one agent or operator lie, in one file, so that they are replaced
// together.
func (f Folder) File(r Role, name string) string {
	return filepath.Join(string(f), fmt.Sprintf("%s-%s.pem", r, name))
}

// Trusted is the file of the authority's certificates.
func (f Folder) Trusted() string { return filepath.Join(string(f), trusted) }

// MakeAuthority makes a fleet's authority, or a new one beside the old, which stays trusted until it runs
// out: certificates of both are taken while agents and operators are given new ones.
func (f Folder) MakeAuthority(fleet string, lasts time.Duration, now time.Time) error {
	if err := os.MkdirAll(string(f), 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	old, err := os.ReadFile(f.Trusted())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("keys: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	serial, err := number()
	if err != nil {
		return err
	}
	t := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "fleet " + fleet},
		NotBefore: now.Add(-skew), NotAfter: now.Add(lasts), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	both, err := bundle(raw, key)
	if err != nil {
		return err
	}
	bundled := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	kept, err := stillGood(f.Trusted(), old, now)
	if err != nil {
		return err
	}
	// Trust comes first: a key whose certificate nobody trusts would be of no use.
	if err := renameio.WriteFile(f.Trusted(), append(bundled, kept...), 0o644); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := renameio.WriteFile(filepath.Join(string(f), authority), both, 0o600); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// stillGood drops certificates that have run out.
func stillGood(file string, old []byte, now time.Time) ([]byte, error) {
	certs, err := certificates(file, old)
	if err != nil {
		return nil, err
	}
	var out []byte
	for _, c := range certs {
		if now.Before(c.NotAfter) {
			out = append(out, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
		}
	}
	return out, nil
}

var names = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Issue makes or renews the certificate of one agent or operator, with a new key.
func (f Folder) Issue(r Role, name string, lasts time.Duration, now time.Time) error {
	if r != Agent && r != Operator {
		return fmt.Errorf("keys: the role is agent or operator, not %q", r)
	}
	if !names.MatchString(name) {
		return fmt.Errorf("keys: %q is no name: letters, digits, dot, dash and underscore, 63 at most", name)
	}
	ca, err := load(filepath.Join(string(f), authority))
	if err != nil {
		return fmt.Errorf("keys: the authority: %w", err)
	}
	if now.Add(lasts).After(ca.Leaf.NotAfter) {
		return fmt.Errorf("keys: the authority runs out on %s, before the certificate would: renew it first",
			ca.Leaf.NotAfter.Format(time.DateOnly))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	serial, err := number()
	if err != nil {
		return err
	}
	t := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: string(r) + " " + name},
		NotBefore: now.Add(-skew), NotAfter: now.Add(lasts), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}, URIs: []*url.URL{id(r, name)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, ca.Leaf, key.Public(), ca.PrivateKey)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	both, err := bundle(raw, key)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(f.File(r, name), both, 0o600); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// Certificate is one for people.
type Certificate struct {
	File  string    `json:"file"`
	Who   string    `json:"who"`
	Until time.Time `json:"until"`
}

// Show lists the certificates of a folder; expired ones too.
func (f Folder) Show() ([]Certificate, error) {
	files, err := filepath.Glob(filepath.Join(string(f), "*.pem"))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var out []Certificate
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		certs, err := certificates(file, raw)
		if err != nil {
			return nil, err
		}
		for _, c := range certs {
			out = append(out, Certificate{File: filepath.Base(file), Who: c.Subject.CommonName, Until: c.NotAfter})
		}
	}
	slices.SortStableFunc(out, func(a, b Certificate) int { return strings.Compare(a.File, b.File) })
	return out, nil
}

func id(r Role, name string) *url.URL {
	return &url.URL{Scheme: scheme, Host: "fleet", Path: "/" + string(r) + "/" + name}
}

func number() (*big.Int, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return n, nil
}

func bundle(cert []byte, key crypto.PrivateKey) ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var b bytes.Buffer
	b.Write(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	b.Write(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}))
	return b.Bytes(), nil
}

func certificates(file string, raw []byte) ([]*x509.Certificate, error) {
	if len(raw) > Longest {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(raw), Longest)
	}
	var out []*x509.Certificate
	for len(raw) > 0 {
		var b *pem.Block
		if b, raw = pem.Decode(raw); b == nil {
			break
		}
		if b.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		out = append(out, c)
	}
	return out, nil
}

func load(file string) (tls.Certificate, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return tls.Certificate{}, err
	}
	c, err := tls.X509KeyPair(raw, raw)
	if err != nil {
		return c, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

// Source is the files that one program speaks with.
type Source struct {
	Own     string // certificate and key
	Trusted string // of the authority
	Now     func() time.Time
}

// Source is a folder's for one agent or operator.
func (f Folder) Source(r Role, name string) Source {
	return Source{Own: f.File(r, name), Trusted: f.Trusted(), Now: time.Now}
}

// read takes the files as they are now.
func (s Source) read() (tls.Certificate, *x509.CertPool, error) {
	own, err := load(s.Own)
	if err != nil {
		return own, nil, fmt.Errorf("own certificate: %w", err)
	}
	raw, err := os.ReadFile(s.Trusted)
	if err != nil {
		return own, nil, fmt.Errorf("the authority's certificates: %w", err)
	}
	certs, err := certificates(s.Trusted, raw)
	if err != nil {
		return own, nil, err
	}
	if len(certs) == 0 {
		return own, nil, fmt.Errorf("%s: no certificate in it", s.Trusted)
	}
	pool := x509.NewCertPool()
	for _, c := range certs {
		pool.AddCert(c)
	}
	return own, pool, nil
}

// Check tells whether the files can be used now.
func (s Source) Check() error {
	own, pool, err := s.read()
	if err != nil {
		return err
	}
	_, err = s.verify(pool, []*x509.Certificate{own.Leaf}, "", "")
	return err
}

// Server is for a listener: each connection is served with the files as they are then, and must show an
// operator's certificate. Refusals are handed to told, if it is not nil.
func (s Source) Server(told func(error)) *tls.Config {
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

// Client is for one connection to an agent.
func (s Source) Client(agent string) (*tls.Config, error) {
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
func (s Source) verify(pool *x509.CertPool, shown []*x509.Certificate, role Role, name string) (string, error) {
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

// Who tells whose a certificate is.
func Who(c *x509.Certificate) (Role, string) {
	for _, u := range c.URIs {
		if parts := strings.Split(u.Path, "/"); u.Scheme == scheme && len(parts) == 3 {
			return Role(parts[1]), parts[2]
		}
	}
	return "", ""
}

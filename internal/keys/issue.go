package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
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
	"time"

	"github.com/google/renameio/v2"
)

// CreateAuthority makes a fleet's authority, or a new one beside the old, which stays trusted until it runs
// out: certificates of both are taken while agents and operators are given new ones.
func (f Folder) CreateAuthority(fleet string, lasts time.Duration, now time.Time) error {
	if err := os.MkdirAll(string(f), 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	old, err := os.ReadFile(f.TrustedFile())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("keys: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	serial, err := newSerialNumber()
	if err != nil {
		return err
	}
	t := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "fleet " + fleet},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lasts), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	both, err := encodeKeyPair(raw, key)
	if err != nil {
		return err
	}
	bundled := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	kept, err := unexpired(f.TrustedFile(), old, now)
	if err != nil {
		return err
	}
	// Trust comes first: a key whose certificate nobody trusts would be of no use.
	if err := renameio.WriteFile(f.TrustedFile(), append(bundled, kept...), 0o644); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := renameio.WriteFile(filepath.Join(string(f), authorityKeyFileName), both, 0o600); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// unexpired drops certificates that have run out.
func unexpired(file string, old []byte, now time.Time) ([]byte, error) {
	certs, err := parseCertificates(file, old)
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

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Issue makes or renews the certificate of one agent or operator, with a new key.
func (f Folder) Issue(r Role, name string, lasts time.Duration, now time.Time) error {
	if r != Agent && r != Operator {
		return fmt.Errorf("keys: the role is agent or operator, not %q", r)
	}
	if !validName.MatchString(name) {
		return fmt.Errorf("keys: %q is no name: letters, digits, dot, dash and underscore, 63 at most", name)
	}
	ca, err := loadKeyPair(filepath.Join(string(f), authorityKeyFileName))
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
	serial, err := newSerialNumber()
	if err != nil {
		return err
	}
	t := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: string(r) + " " + name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lasts), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}, URIs: []*url.URL{identityURI(r, name)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, ca.Leaf, key.Public(), ca.PrivateKey)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	both, err := encodeKeyPair(raw, key)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(f.CertificateFile(r, name), both, 0o600); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

func newSerialNumber() (*big.Int, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return n, nil
}

package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/google/renameio/v2"
)

// File modes. Only the owner may read keys.
const (
	folderMode  = 0o700
	keyMode     = 0o600
	trustedMode = 0o644
)

// serialNumberBits is the length of a certificate's random serial number.
const serialNumberBits = 127

// validName matches the valid names of agents and operators. The names become part of file names and URIs.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// CreateAuthority creates the certificate authority of a fleet, or replaces it. The certificate of the old authority stays
// trusted until it expires, so that certificates from both are accepted while agents and operators get new ones. now is
// the time of issue.
func (f Folder) CreateAuthority(fleet string, lifetime time.Duration, now time.Time) error {
	if err := os.MkdirAll(string(f), folderMode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	old, err := os.ReadFile(f.TrustedFile())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("keys: %w", err)
	}
	template := &x509.Certificate{
		Subject:   pkix.Name{CommonName: "fleet " + fleet},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lifetime),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	issued, err := issue(template, nil)
	if err != nil {
		return err
	}
	keyFile, err := issued.encode()
	if err != nil {
		return err
	}
	kept, err := unexpired(f.TrustedFile(), old, now)
	if err != nil {
		return err
	}
	// The trusted certificates are written first, because a key whose certificate is not trusted would be useless.
	trusted := append(encodeCertificate(issued.certificate), kept...)
	if err := renameio.WriteFile(f.TrustedFile(), trusted, trustedMode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := renameio.WriteFile(f.authorityKeyFile(), keyFile, keyMode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// unexpired returns the certificates in the content of a file that have not expired by now, as PEM text.
func unexpired(file string, content []byte, now time.Time) ([]byte, error) {
	certificates, err := parseCertificates(file, content)
	if err != nil {
		return nil, err
	}
	var kept []byte
	for _, certificate := range certificates {
		if now.Before(certificate.NotAfter) {
			kept = append(kept, encodeCertificate(certificate.Raw)...)
		}
	}
	return kept, nil
}

// Issue creates or renews the certificate of an agent or operator, with a new key. now is the time of issue. Issue fails
// if the certificate of the authority would expire before the new one.
func (f Folder) Issue(role Role, name string, lifetime time.Duration, now time.Time) error {
	if role != Agent && role != Operator {
		return fmt.Errorf("keys: the role is agent or operator, not %q", role)
	}
	if !validName.MatchString(name) {
		return fmt.Errorf("keys: invalid name %q: use at most 63 letters, digits, dots, dashes and underscores", name)
	}
	authority, err := loadKeyPair(f.authorityKeyFile())
	if err != nil {
		return fmt.Errorf("keys: load the authority: %w", err)
	}
	notAfter := now.Add(lifetime)
	if authorityEnd := authority.Leaf.NotAfter; notAfter.After(authorityEnd) {
		return fmt.Errorf("keys: the authority expires on %s, before the certificate would: renew the authority first",
			authorityEnd.Format(time.DateOnly))
	}
	identity := Identity{Role: role, Name: name}
	template := &x509.Certificate{
		Subject:   pkix.Name{CommonName: identity.String()},
		NotBefore: now.Add(-clockSkew), NotAfter: notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs:        []*url.URL{identity.uri()},
	}
	issued, err := issue(template, &authority)
	if err != nil {
		return err
	}
	keyFile, err := issued.encode()
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(f.CertificateFile(role, name), keyFile, keyMode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// issue creates a key and a certificate for it. The authority signs the certificate; if authority is nil, the certificate
// is self-signed. issue sets the serial number of the template.
func issue(template *x509.Certificate, authority *tls.Certificate) (keyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keyPair{}, fmt.Errorf("keys: %w", err)
	}
	template.SerialNumber, err = newSerialNumber()
	if err != nil {
		return keyPair{}, err
	}
	issuer := template
	var issuerKey any = key
	if authority != nil {
		issuer = authority.Leaf
		issuerKey = authority.PrivateKey
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, issuer, key.Public(), issuerKey)
	if err != nil {
		return keyPair{}, fmt.Errorf("keys: %w", err)
	}
	return keyPair{certificate: certificate, key: key}, nil
}

func newSerialNumber() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialNumberBits)
	number, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return number, nil
}

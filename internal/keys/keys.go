// Package keys makes, renews and uses the certificates of a fleet: an authority of its own, agents and
// operators. Files are read anew for each connection, so what is replaced counts from the next one on.
package keys

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"path/filepath"
	"strings"
	"time"
)

// Role is what a certificate is for.
type Role string

// Roles.
const (
	Agent    Role = "agent"
	Operator Role = "operator"
)

const (
	trustedFileName      = "authority.pem"     // certificates of the authority: the present one and those before it
	authorityKeyFileName = "authority.key.pem" // its present certificate and key; only whoever issues needs it
	identityScheme       = "stoatdale"
	clockSkew            = 5 * time.Minute // that clocks may differ
)

// Folder holds a fleet's keys.
type Folder string

// CertificateFile is where the certificate and key of one agent or operator lie, in one file, so that they are replaced
// together.
func (f Folder) CertificateFile(r Role, name string) string {
	return filepath.Join(string(f), fmt.Sprintf("%s-%s.pem", r, name))
}

// TrustedFile is the file of the authority's certificates.
func (f Folder) TrustedFile() string { return filepath.Join(string(f), trustedFileName) }

func identityURI(r Role, name string) *url.URL {
	return &url.URL{Scheme: identityScheme, Host: "fleet", Path: "/" + string(r) + "/" + name}
}

// Who tells whose a certificate is.
func Who(c *x509.Certificate) (Role, string) {
	for _, u := range c.URIs {
		if parts := strings.Split(u.Path, "/"); u.Scheme == identityScheme && len(parts) == 3 {
			return Role(parts[1]), parts[2]
		}
	}
	return "", ""
}

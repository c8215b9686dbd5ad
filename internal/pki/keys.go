// Package pki is the certificate authority of a fleet and its use: it issues and renews the certificates of agents
// and operators, lists them, and makes the TLS configurations with which both sides verify each other.
//
// Everything lies in one folder of PEM files. Files are read anew for each connection, so a replaced file is used from
// the next connection on.
package pki

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"path/filepath"
	"strings"
	"time"
)

// Role is what a certificate entitles its holder to. It is part of the identity in the certificate.
type Role string

const (
	// Agent certificates are presented by the agents, which serve operators' calls.
	Agent Role = "agent"
	// Operator certificates are presented by the operators' tool, which calls agents.
	Operator Role = "operator"
)

const (
	trustedFileName      = "authority.pem"     // certificates of the authority: the present one and those before it
	authorityKeyFileName = "authority.key.pem" // its present certificate and key; only whoever issues needs it
)

// Identities are URIs in the certificate, such as stoatdale://fleet/agent/a1.
const (
	identityScheme = "stoatdale"
	identityHost   = "fleet"
)

// clockSkew is how far the clocks of two machines may differ: certificates are valid from so much before their issue.
const clockSkew = 5 * time.Minute

// Folder is the path of the folder that holds a fleet's certificates and keys.
type Folder string

// CertificateFile is the path of one agent's or operator's certificate and key. Both are in one file, so that they are
// replaced together.
func (f Folder) CertificateFile(role Role, name string) string {
	return filepath.Join(string(f), fmt.Sprintf("%s-%s.pem", role, name))
}

// TrustedFile is the path of the authority's certificates, which every agent and operator needs.
func (f Folder) TrustedFile() string { return filepath.Join(string(f), trustedFileName) }

// authorityKeyFile is the path of the authority's present certificate and key.
func (f Folder) authorityKeyFile() string { return filepath.Join(string(f), authorityKeyFileName) }

// Identity is the holder of a certificate. The zero value is that of a certificate without one.
type Identity struct {
	Role Role
	Name string
}

// IdentityOf reads the identity from a certificate. It does not verify the certificate.
func IdentityOf(certificate *x509.Certificate) Identity {
	for _, uri := range certificate.URIs {
		parts := strings.Split(uri.Path, "/")
		if uri.Scheme == identityScheme && len(parts) == 3 {
			return Identity{Role: Role(parts[1]), Name: parts[2]}
		}
	}
	return Identity{}
}

// String is the identity as it stands in the certificate's subject and in errors: "agent a1".
func (i Identity) String() string { return string(i.Role) + " " + i.Name }

// matches tells whether the identity is the wanted one. An empty role or name of wanted stands for any.
func (i Identity) matches(wanted Identity) bool {
	roleMatches := wanted.Role == "" || wanted.Role == i.Role
	nameMatches := wanted.Name == "" || wanted.Name == i.Name
	return roleMatches && nameMatches
}

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: identityHost, Path: "/" + string(i.Role) + "/" + i.Name}
}

// Package pki implements the certificate authority of a fleet. It issues, renews and lists the certificates of agents and
// operators, and creates the TLS configurations with which agents and operators verify each other.
//
// All certificates and keys are PEM files in one folder. The files are read for each connection, so a replaced file is
// used from the next connection on.
package pki

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"path/filepath"
	"strings"
	"time"
)

// Role is the role of a certificate's holder in the fleet. It is part of the identity in the certificate.
type Role string

const (
	// Agent is the role of agents, which serve the calls of operators.
	Agent Role = "agent"
	// Operator is the role of operators, whose tool calls agents.
	Operator Role = "operator"
)

const (
	trustedFileName      = "authority.pem"     // current and earlier certificates of the authority
	authorityKeyFileName = "authority.key.pem" // current certificate and key of the authority, needed only to issue certificates
)

// An identity is a URI in the certificate, such as stoatdale://fleet/agent/a1.
const (
	identityScheme = "stoatdale"
	identityHost   = "fleet"
)

// clockSkew is the tolerated difference between the clocks of two machines. Certificates are valid from this long before
// they are issued.
const clockSkew = 5 * time.Minute

// Folder is the path of the folder that holds a fleet's certificates and keys.
type Folder string

// CertificateFile returns the path of the certificate and key of an agent or operator. Both are in one file, so that they
// are replaced together.
func (f Folder) CertificateFile(role Role, name string) string {
	return filepath.Join(string(f), fmt.Sprintf("%s-%s.pem", role, name))
}

// TrustedFile returns the path of the certificates of the authority, which every agent and operator needs.
func (f Folder) TrustedFile() string { return filepath.Join(string(f), trustedFileName) }

// authorityKeyFile returns the path of the current certificate and key of the authority.
func (f Folder) authorityKeyFile() string { return filepath.Join(string(f), authorityKeyFileName) }

// Identity is the holder of a certificate, by role and name. It is zero for a certificate that names no holder.
type Identity struct {
	Role Role
	Name string
}

// IdentityOf returns the identity in a certificate. It does not verify the certificate.
func IdentityOf(certificate *x509.Certificate) Identity {
	for _, uri := range certificate.URIs {
		parts := strings.Split(uri.Path, "/")
		if uri.Scheme == identityScheme && len(parts) == 3 {
			return Identity{Role: Role(parts[1]), Name: parts[2]}
		}
	}
	return Identity{}
}

// String returns the identity in the form of the certificate's subject and of errors, such as "agent a1".
func (i Identity) String() string { return string(i.Role) + " " + i.Name }

// matches reports whether the identity is the wanted one. An empty role or name in wanted matches any.
func (i Identity) matches(wanted Identity) bool {
	roleMatches := wanted.Role == "" || wanted.Role == i.Role
	nameMatches := wanted.Name == "" || wanted.Name == i.Name
	return roleMatches && nameMatches
}

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: identityHost, Path: "/" + string(i.Role) + "/" + i.Name}
}

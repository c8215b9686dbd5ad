// Package api carries the protocol of package protocol between the fleet tool and its agents: HTTP/1.1 over TLS, with a
// certificate on each side. Sizes, times and connections are bounded. Client and server agree on a version of the
// protocol, or report which versions each of them speaks.
package api

import (
	"time"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
)

// Bounds of an agent's listener and of the client's connections.
const (
	maxConnections = 64
	maxHeaderBytes = 8 << 10
	headerTimeout  = 5 * time.Second  // until a request's header is read
	requestTimeout = 30 * time.Second // until a request is read, and until its reply is written
	idleTimeout    = 2 * time.Minute  // until a connection without a request is closed
)

// What requests and replies look like in HTTP.
const (
	requestPath = "/fleet"
	contentType = "application/cbor"

	versionHeader    = "Fleet-Version" // of a request: the version that it is written in
	minVersionHeader = "Fleet-Least"   // of a reply: the versions that the agent speaks
	maxVersionHeader = "Fleet-Most"
)

// Versions of the protocol that one side speaks, from Min to Max.
type Versions struct{ Min, Max int }

// SupportedVersions are those that this program speaks.
var SupportedVersions = Versions{Min: protocol.MinVersion, Max: protocol.MaxVersion}

// contains tells whether a version is among them.
func (v Versions) contains(version int) bool { return v.Min <= version && version <= v.Max }

// HolderName is the name under which one running tool of an operator asks for a lease. unique tells the operator's tools
// apart. The server rejects requests whose holder is not the caller's.
func HolderName(operator, unique string) string { return operator + holderSeparator + unique }

const holderSeparator = "/"

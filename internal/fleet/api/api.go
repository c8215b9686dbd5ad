// Package api transports the messages of package protocol between the fleet tool and its agents over HTTP/1.1 and TLS, with
// a certificate on each side. Message sizes, durations and the number of connections are bounded. Client and server
// negotiate a version of the protocol. If they have none in common, the error names the versions that each of them speaks.
package api

import (
	"time"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
)

// Limits of an agent's listener and of the client's connections.
const (
	maxConnections   = 64               // with a complete handshake
	maxHandshakes    = 512              // connections that are still in their handshake
	handshakeTimeout = time.Second      // for a handshake
	maxHeaderBytes   = 8 << 10          // of a request
	headerTimeout    = 5 * time.Second  // for reading the header of a request
	requestTimeout   = 30 * time.Second // for reading a request, and again for writing its reply
	idleTimeout      = 2 * time.Minute  // after which an idle connection is closed
)

// HTTP path, content type and headers of requests and replies.
const (
	requestPath = "/fleet"
	contentType = "application/cbor"

	versionHeader    = "Fleet-Version" // in a request: the protocol version that it is written in
	minVersionHeader = "Fleet-Least"   // in a reply: the lowest protocol version that the agent speaks
	maxVersionHeader = "Fleet-Most"    // in a reply: the highest protocol version that the agent speaks
)

// Versions is the range of protocol versions that one side speaks, from Min to Max.
type Versions struct{ Min, Max int }

// SupportedVersions is the range of protocol versions that this program speaks.
var SupportedVersions = Versions{Min: protocol.MinVersion, Max: protocol.MaxVersion}

// contains reports whether a version is in the range.
func (v Versions) contains(version int) bool { return v.Min <= version && version <= v.Max }

// HolderName returns the name under which a running tool of an operator holds a lease. unique distinguishes the running
// tools of one operator. The server rejects a request with a holder name that belongs to another operator.
func HolderName(operator, unique string) string { return operator + holderSeparator + unique }

const holderSeparator = "/"

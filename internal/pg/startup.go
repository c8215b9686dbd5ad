package pg

import (
	"encoding/binary"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Values of the code in a start-up packet, which is either a protocol version or a request.
const (
	protocolMajor         = 3        // major version, in the upper 16 bits of the code
	codeEncryptionRequest = 80877103 // SSLRequest
	codeGSSRequest        = 80877104 // GSSENCRequest
	codeCancelRequest     = 80877102 // CancelRequest
)

// startupHeaderSize is the size of the length and the code of a start-up packet, in bytes.
const startupHeaderSize = 8

// StartupKind is the kind of request that a start-up packet makes.
type StartupKind int

// Kinds of start-up packets.
const (
	StartupSession    StartupKind = iota // requests a session; the server replies with AppendStartupReply
	StartupEncryption                    // requests encryption; the server refuses with the byte N and gets another packet
	StartupCancel                        // requests the cancellation of a query; the server closes the connection
)

// cancelKeySize is the size of a CancelKey on the wire, in bytes.
const cancelKeySize = 8

// CancelKey identifies a session in a request to cancel its queries. It is a secret that the server sends to the client when
// the session starts.
type CancelKey [cancelKeySize]byte

// Startup is a parsed start-up packet.
type Startup struct {
	Kind StartupKind
	Key  CancelKey // for StartupCancel: identifies the session whose queries are to be canceled
}

// ReadStartup parses a start-up packet of at most maxLength bytes and removes it from a chain. ok is false while the packet
// is incomplete. Its errors are of the types *StartupLengthError and *VersionError.
func ReadStartup(in *buffer.Chain, maxLength int) (startup Startup, ok bool, err error) {
	var header [startupHeaderSize]byte
	got := in.Peek(header[:])
	if got < lengthSize {
		return Startup{}, false, nil
	}
	length := int(int32(binary.BigEndian.Uint32(header[:])))
	if length < startupHeaderSize || length > maxLength {
		return Startup{}, false, &StartupLengthError{Length: length}
	}
	if in.Len() < length {
		return Startup{}, false, nil
	}
	if startup.Kind, err = startupKind(binary.BigEndian.Uint32(header[lengthSize:])); err != nil {
		in.Discard(length)
		return Startup{}, false, err
	}
	if startup.Kind == StartupCancel && length == startupHeaderSize+cancelKeySize {
		var packet [startupHeaderSize + cancelKeySize]byte
		in.Peek(packet[:])
		copy(startup.Key[:], packet[startupHeaderSize:])
	}
	in.Discard(length)
	return startup, true, nil
}

// startupKind returns the kind of request that a start-up packet's code makes.
func startupKind(code uint32) (StartupKind, error) {
	major, minor := int(code>>16), int(code&0xffff)
	switch {
	case code == codeEncryptionRequest || code == codeGSSRequest:
		return StartupEncryption, nil
	case code == codeCancelRequest:
		return StartupCancel, nil
	case major == protocolMajor:
		return StartupSession, nil
	}
	return 0, &VersionError{Major: major, Minor: minor}
}

// AppendStartupReply appends the messages with which a server answers a client's start-up packet, up to ReadyForQuery. key
// is the cancel key of the session; a key of zeros identifies no session.
func AppendStartupReply(b []byte, key CancelKey) []byte {
	b = AppendMessage(b, kindAuthentication, []byte{0, 0, 0, 0})
	b = AppendParameterStatus(b, "server_version", "16.0")
	b = AppendParameterStatus(b, "server_encoding", "UTF8")
	b = AppendParameterStatus(b, "client_encoding", "UTF8")
	b = AppendParameterStatus(b, "standard_conforming_strings", "on")
	b = AppendMessage(b, kindBackendKeyData, key[:])
	return AppendReadyForQuery(b)
}

// AppendStartupMessage appends the start-up packet that the router sends to a backend.
func AppendStartupMessage(b []byte) []byte {
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+lengthSize))
	return append(b, body...)
}

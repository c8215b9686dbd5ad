package pg

import (
	"encoding/binary"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Codes at the beginning of a start-up packet: the protocol's version, or a request.
const (
	protocolMajor         = 3
	codeEncryptionRequest = 80877103 // SSLRequest
	codeGSSRequest        = 80877104 // GSSENCRequest
	codeCancelRequest     = 80877102
)

// startupHeader is the size of a start-up packet's length and code, in bytes.
const startupHeader = 8

// StartupKind is what a start-up packet asks for.
type StartupKind int

// Kinds of start-up packets.
const (
	StartupSession    StartupKind = iota // a session, to be answered by AppendStartupReply
	StartupEncryption                    // encryption, to be refused by the one byte N; another packet follows
	StartupCancel                        // the cancellation of a query; the connection is to be closed
)

// cancelKeySize is the size of a CancelKey on the wire, in bytes.
const cancelKeySize = 8

// CancelKey names a session in a request to cancel its queries. Only who was given it at the session's start knows it.
type CancelKey [cancelKeySize]byte

// Startup is a start-up packet.
type Startup struct {
	Kind StartupKind
	Key  CancelKey // of StartupCancel: the session whose queries are to be canceled
}

// ReadStartup takes a start-up packet of at most so many bytes off a chain. ok is false while it is not complete. Its
// errors are of the types *StartupLengthError and *VersionError.
func ReadStartup(in *buffer.Chain, maxLength int) (startup Startup, ok bool, err error) {
	var header [startupHeader]byte
	got := in.Peek(header[:])
	if got < lengthSize {
		return Startup{}, false, nil
	}
	length := int(int32(binary.BigEndian.Uint32(header[:])))
	if length < startupHeader || length > maxLength {
		return Startup{}, false, &StartupLengthError{Length: length}
	}
	if in.Len() < length {
		return Startup{}, false, nil
	}
	if startup.Kind, err = startupKind(binary.BigEndian.Uint32(header[lengthSize:])); err != nil {
		in.Discard(length)
		return Startup{}, false, err
	}
	if startup.Kind == StartupCancel && length == startupHeader+cancelKeySize {
		var packet [startupHeader + cancelKeySize]byte
		in.Peek(packet[:])
		copy(startup.Key[:], packet[startupHeader:])
	}
	in.Discard(length)
	return startup, true, nil
}

// startupKind returns what a start-up packet's code asks for.
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

// AppendStartupReply appends what a server sends in answer to a client's start-up packet, ReadyForQuery included. The key
// is the session's; one of zeros names none.
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

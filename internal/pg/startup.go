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

// ReadStartup takes a start-up packet of at most so many bytes off a chain. ok is false while it is not complete. Its
// errors are of the types *StartupLengthError and *VersionError.
func ReadStartup(in *buffer.Chain, maxLength int) (kind StartupKind, ok bool, err error) {
	var header [startupHeader]byte
	got := in.Peek(header[:])
	if got < lengthSize {
		return 0, false, nil
	}
	length := int(int32(binary.BigEndian.Uint32(header[:])))
	if length < startupHeader || length > maxLength {
		return 0, false, &StartupLengthError{Length: length}
	}
	if in.Len() < length {
		return 0, false, nil
	}
	code := binary.BigEndian.Uint32(header[lengthSize:])
	in.Discard(length)
	kind, err = startupKind(code)
	return kind, err == nil, err
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

// AppendStartupReply appends what a server sends in answer to a client's start-up packet, ReadyForQuery included.
func AppendStartupReply(b []byte) []byte {
	b = AppendMessage(b, kindAuthentication, []byte{0, 0, 0, 0})
	b = AppendParameterStatus(b, "server_version", "16.0")
	b = AppendParameterStatus(b, "server_encoding", "UTF8")
	b = AppendParameterStatus(b, "client_encoding", "UTF8")
	b = AppendParameterStatus(b, "standard_conforming_strings", "on")
	b = AppendMessage(b, kindBackendKeyData, make([]byte, 8))
	return AppendReadyForQuery(b)
}

// AppendStartupMessage appends the start-up packet that the router sends to a backend.
func AppendStartupMessage(b []byte) []byte {
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+lengthSize))
	return append(b, body...)
}

package pg

import (
	"encoding/binary"
	"fmt"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Codes that a start-up packet opens with.
const (
	major      = 3
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
)

// StartupKind is what a start-up packet asks for.
type StartupKind int

// Kinds of start-up packets.
const (
	StartupSession    StartupKind = iota
	StartupEncryption             // to be answered with N
	StartupCancel                 // to be closed
)

// ReadStartup takes a start-up packet of most bytes at the most off a chain. ok is false while it is not whole.
func ReadStartup(in *buffer.Chain, most int) (kind StartupKind, ok bool, err error) {
	var head [8]byte
	got := in.Peek(head[:])
	if got < 4 {
		return 0, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(head[:])))
	if n < len(head) || n > most {
		return 0, false, fmt.Errorf("start-up packet of %d bytes", n)
	}
	if got < len(head) || in.Len() < n {
		return 0, false, nil
	}
	code := binary.BigEndian.Uint32(head[4:])
	in.Skip(n)
	switch {
	case code == codeSSL || code == codeGSS:
		return StartupEncryption, true, nil
	case code == codeCancel:
		return StartupCancel, true, nil
	case code>>16 == major:
		return StartupSession, true, nil
	}
	return 0, false, fmt.Errorf("protocol version %d.%d is not known", code>>16, code&0xffff)
}

// AppendStartupReply appends what follows a client's start-up packet.
func AppendStartupReply(b []byte) []byte {
	b = AppendMessage(b, 'R', []byte{0, 0, 0, 0})
	b = AppendParameterStatus(b, "server_version", "16.0")
	b = AppendParameterStatus(b, "server_encoding", "UTF8")
	b = AppendParameterStatus(b, "client_encoding", "UTF8")
	b = AppendParameterStatus(b, "standard_conforming_strings", "on")
	b = AppendMessage(b, 'K', make([]byte, 8))
	return AppendReadyForQuery(b)
}

// AppendStartupMessage appends the start-up packet that a router sends to a member.
func AppendStartupMessage(b []byte) []byte {
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body)+4)), body...)
}

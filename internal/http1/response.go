package http1

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/buffer"
)

// ErrMalformedResponse is the cause of all errors of Response.Take.
var ErrMalformedResponse = errors.New("malformed response")

// ResponseError says which part of a response is malformed or too long. It wraps ErrMalformedResponse.
type ResponseError struct {
	Reason string // the part, and the beginning of what stood there or the limit
}

// Error returns the cause and the reason.
func (e *ResponseError) Error() string { return ErrMalformedResponse.Error() + ": " + e.Reason }

// Unwrap returns ErrMalformedResponse.
func (e *ResponseError) Unwrap() error { return ErrMalformedResponse }

// malformed returns a ResponseError with a formatted reason.
func malformed(format string, arguments ...any) error {
	return &ResponseError{Reason: fmt.Sprintf(format, arguments...)}
}

// versions are the protocol versions that are accepted, with whether the connection ends after a response unless its
// headers say otherwise.
var versions = map[string]bool{"HTTP/1.0": true, "HTTP/1.1": false}

// Status codes that decide what follows the headers.
const (
	minStatus         = 100
	maxStatus         = 999
	firstFinalStatus  = 200 // those below are informational: another response follows
	statusNoContent   = 204
	statusNotModified = 304
)

// Response is one response, parsed as its bytes come. The zero value is ready for Take. The exported fields are complete
// once Take or ConnectionEnded has reported that the response is.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the server ends the connection after this response

	maxLine   int // bytes
	step      step
	line      []byte // the line that is being read
	remaining int    // bytes of the body or chunk still to come
	chunked   bool
	hasLength bool
}

// step is the part of a response that comes next.
type step int

const (
	stepStatusLine step = iota
	stepHeader
	stepBody      // a body or chunk whose length is known
	stepChunkSize // the line before a chunk
	stepChunkEnd  // the empty line after a chunk
	stepTrailer   // the lines after the last chunk
	stepBodyToEnd // a body that lasts until the connection ends
	stepComplete
)

// Take takes bytes off a chain and reports whether the response is complete; what follows it stays. The body may have
// maxBody bytes and each line maxLine. Its errors are of the type *ResponseError.
func (r *Response) Take(in *buffer.Chain, maxBody, maxLine int) (complete bool, err error) {
	r.maxLine = maxLine
	for in.Len() > 0 && r.step != stepComplete {
		consumed, err := r.takePiece(in.FirstPiece(), maxBody)
		if err != nil {
			return false, err
		}
		in.Discard(consumed)
	}
	return r.step == stepComplete, nil
}

// ConnectionEnded takes in that the server closed the connection, and reports whether the response is complete.
func (r *Response) ConnectionEnded() bool {
	if r.step == stepBodyToEnd {
		r.step = stepComplete
	}
	return r.step == stepComplete
}

// takePiece takes in bytes that lie in one piece, and returns how many of them it took.
func (r *Response) takePiece(piece []byte, maxBody int) (int, error) {
	if r.step == stepBody || r.step == stepBodyToEnd {
		return r.takeBody(piece, maxBody)
	}
	for i, c := range piece {
		if c != '\n' {
			if len(r.line) >= r.maxLine {
				return 0, malformed("line over %d bytes", r.maxLine)
			}
			r.line = append(r.line, c)
			continue
		}
		line := strings.TrimSuffix(string(r.line), "\r")
		r.line = r.line[:0]
		return i + 1, r.takeLine(line, maxBody)
	}
	return len(piece), nil
}

// takeBody takes in bytes of the body.
func (r *Response) takeBody(piece []byte, maxBody int) (int, error) {
	if r.step == stepBody {
		piece = piece[:min(len(piece), r.remaining)]
		r.remaining -= len(piece)
	}
	if len(r.Body)+len(piece) > maxBody {
		return 0, malformed("body over %d bytes", maxBody)
	}
	r.Body = append(r.Body, piece...)
	if r.step == stepBody && r.remaining == 0 {
		r.step = stepComplete
		if r.chunked {
			r.step = stepChunkEnd
		}
	}
	return len(piece), nil
}

// takeLine takes in one line, without its end.
func (r *Response) takeLine(line string, maxBody int) error {
	switch r.step {
	case stepStatusLine:
		return r.parseStatusLine(line)
	case stepHeader:
		if line == "" {
			return r.startBody(maxBody)
		}
		return r.parseHeader(line)
	case stepChunkSize:
		return r.parseChunkSize(line, maxBody)
	case stepChunkEnd:
		if line != "" {
			return malformed("chunk without end")
		}
		r.step = stepChunkSize
	case stepTrailer:
		if line == "" {
			r.step = stepComplete
		}
	case stepBody, stepBodyToEnd, stepComplete: // none of these is read by lines
	}
	return nil
}

// parseStatusLine takes in the version and the status.
func (r *Response) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	closes, isKnown := versions[version]
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus || !isKnown {
		return malformed("status line %.40q", line)
	}
	r.Status = status
	r.Close = closes
	r.step = stepHeader
	return nil
}

// parseHeader takes in the headers that decide how long the body and the connection last, and ignores others.
func (r *Response) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return malformed("header %.40q", line)
	}
	value = strings.ToLower(strings.TrimSpace(value))
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || r.hasLength && int(length) != r.remaining {
			return malformed("length %.20q", value)
		}
		r.hasLength = true
		r.remaining = int(length)
	case "transfer-encoding":
		if value != "chunked" {
			return malformed("encoding %.20q", value)
		}
		r.chunked = true
	case "connection":
		r.Close = r.Close && value != "keep-alive" || value == "close"
	}
	return nil
}

// startBody decides by the headers what follows them.
func (r *Response) startBody(maxBody int) error {
	switch {
	case r.Status < firstFinalStatus:
		*r = Response{maxLine: r.maxLine}
	case r.chunked:
		r.remaining = 0
		r.step = stepChunkSize
	case r.hasNoBody():
		r.step = stepComplete
	case r.hasLength && r.remaining > maxBody:
		return malformed("body of %d bytes", r.remaining)
	case r.hasLength:
		r.step = stepBody
	default:
		r.Close = true
		r.step = stepBodyToEnd
	}
	return nil
}

// hasNoBody reports whether the status or the length says that there is no body.
func (r *Response) hasNoBody() bool {
	return r.Status == statusNoContent || r.Status == statusNotModified || r.hasLength && r.remaining == 0
}

// parseChunkSize takes in the length of the next chunk; 0 stands for the last.
func (r *Response) parseChunkSize(line string, maxBody int) error {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil || len(r.Body)+int(size) > maxBody {
		return malformed("chunk of %.20q", line)
	}
	r.remaining = int(size)
	r.step = stepBody
	if size == 0 {
		r.step = stepTrailer
	}
	return nil
}

package http1

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/buffer"
)

// ErrMalformedResponse is wrapped by all errors of Response.Parse.
var ErrMalformedResponse = errors.New("malformed response")

// ResponseError is the error for a response that is malformed or too long. It wraps ErrMalformedResponse.
type ResponseError struct {
	Reason string // the part at fault, with the beginning of its text or the limit that it exceeds
}

// Error returns the text of ErrMalformedResponse and the reason.
func (e *ResponseError) Error() string { return ErrMalformedResponse.Error() + ": " + e.Reason }

// Unwrap returns ErrMalformedResponse.
func (e *ResponseError) Unwrap() error { return ErrMalformedResponse }

// malformed returns a ResponseError with a formatted reason.
func malformed(format string, arguments ...any) error {
	return &ResponseError{Reason: fmt.Sprintf(format, arguments...)}
}

// versions are the accepted protocol versions. The value is true if the server closes the connection after a response by
// default, that is unless a Connection header says otherwise.
var versions = map[string]bool{"HTTP/1.0": true, "HTTP/1.1": false}

// Status codes: the valid range, and the codes that determine what follows the headers.
const (
	minStatus         = 100
	maxStatus         = 999
	firstFinalStatus  = 200 // lower codes are informational: another response follows
	statusNoContent   = 204
	statusNotModified = 304
)

// Response is one response, parsed incrementally as its bytes arrive. The zero value is ready for Parse. The exported
// fields are complete once Parse or ConnectionEnded has returned true.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the server closes the connection after this response

	maxLine   int // longest accepted line, in bytes
	step      step
	line      []byte // the current line, as far as it has arrived
	remaining int    // bytes of the body or chunk that have not arrived yet
	chunked   bool   // a Transfer-Encoding header announced chunks
	hasLength bool   // a Content-Length header was parsed
}

// step is the part of a response that is parsed next.
type step int

const (
	stepStatusLine step = iota
	stepHeader
	stepBody      // a body or chunk of known length
	stepChunkSize // the line with the size of the next chunk
	stepChunkEnd  // the empty line after a chunk
	stepTrailer   // the lines after the last chunk
	stepBodyToEnd // a body that ends with the connection
	stepComplete
)

// Parse consumes bytes of input and reports whether the response is complete. Bytes after the response stay in input. The
// body may have at most maxBody bytes, and each line at most maxLine. Errors are of type *ResponseError.
func (r *Response) Parse(input *buffer.Chain, maxBody, maxLine int) (complete bool, err error) {
	r.maxLine = maxLine
	for input.Len() > 0 && r.step != stepComplete {
		consumed, err := r.parsePiece(input.FirstPiece(), maxBody)
		if err != nil {
			return false, err
		}
		input.Discard(consumed)
	}
	return r.step == stepComplete, nil
}

// ConnectionEnded must be called when the server has closed the connection. It reports whether the response is complete. A
// body that ends with the connection is then complete as well.
func (r *Response) ConnectionEnded() bool {
	if r.step == stepBodyToEnd {
		r.step = stepComplete
	}
	return r.step == stepComplete
}

// parsePiece parses contiguous bytes up to the end of a line or body, and returns the number of bytes that it consumed.
func (r *Response) parsePiece(piece []byte, maxBody int) (int, error) {
	if r.step == stepBody || r.step == stepBodyToEnd {
		return r.parseBody(piece, maxBody)
	}
	for i, c := range piece {
		if c != '\n' {
			if len(r.line) >= r.maxLine {
				return 0, malformed("line longer than %d bytes", r.maxLine)
			}
			r.line = append(r.line, c)
			continue
		}
		line := strings.TrimSuffix(string(r.line), "\r")
		r.line = r.line[:0]
		return i + 1, r.parseLine(line, maxBody)
	}
	return len(piece), nil
}

// parseBody appends bytes to the body and returns their number.
func (r *Response) parseBody(piece []byte, maxBody int) (int, error) {
	if r.step == stepBody {
		piece = piece[:min(len(piece), r.remaining)]
		r.remaining -= len(piece)
	}
	if len(r.Body)+len(piece) > maxBody {
		return 0, malformed("body longer than %d bytes", maxBody)
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

// parseLine parses one line, which is passed without its line break.
func (r *Response) parseLine(line string, maxBody int) error {
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
			return malformed("no line break after the chunk data")
		}
		r.step = stepChunkSize
	case stepTrailer:
		if line == "" {
			r.step = stepComplete
		}
	case stepBody, stepBodyToEnd, stepComplete: // these are not parsed line by line
	}
	return nil
}

// parseStatusLine parses the protocol version and the status code.
func (r *Response) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	closes, isKnown := versions[version]
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus || !isKnown {
		return malformed("invalid status line %.40q", line)
	}
	r.Status = status
	r.Close = closes
	r.step = stepHeader
	return nil
}

// parseHeader parses the headers that determine the end of the body and of the connection, and ignores all others.
func (r *Response) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return malformed("invalid header line %.40q", line)
	}
	value = strings.ToLower(strings.TrimSpace(value))
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || r.hasLength && int(length) != r.remaining {
			return malformed("invalid or contradictory Content-Length %.20q", value)
		}
		r.hasLength = true
		r.remaining = int(length)
	case "transfer-encoding":
		if value != "chunked" {
			return malformed("unsupported Transfer-Encoding %.20q", value)
		}
		r.chunked = true
	case "connection":
		r.Close = r.Close && value != "keep-alive" || value == "close"
	}
	return nil
}

// startBody sets the step after the headers, as the status and the headers determine it.
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
		return malformed("body of %d bytes is longer than %d bytes", r.remaining, maxBody)
	case r.hasLength:
		r.step = stepBody
	default:
		r.Close = true
		r.step = stepBodyToEnd
	}
	return nil
}

// hasNoBody reports whether the response has no body, by its status or its Content-Length.
func (r *Response) hasNoBody() bool {
	return r.Status == statusNoContent || r.Status == statusNotModified || r.hasLength && r.remaining == 0
}

// parseChunkSize parses the size of the next chunk. Size 0 marks the end of the body.
func (r *Response) parseChunkSize(line string, maxBody int) error {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil || len(r.Body)+int(size) > maxBody {
		return malformed("chunk size %.20q is invalid or exceeds the body limit", line)
	}
	r.remaining = int(size)
	r.step = stepBody
	if size == 0 {
		r.step = stepTrailer
	}
	return nil
}

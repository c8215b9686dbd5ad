// Package http1 writes GET requests and parses their replies: HTTP/1.1, Content-Length and chunked. It
// does no I/O.
package http1

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/buffer"
)

// GetRequest is a request for a path on a kept connection.
func GetRequest(host, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}

// Response is one reply, taken in as its bytes come.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the connection ends with this reply

	most    int // bytes of a line
	step    step
	line    []byte
	left    int // bytes of the body or chunk still to come
	chunked bool
	sized   bool
}

type step int

const (
	statusLine step = iota
	header
	body
	chunkSize
	chunkEnd
	trailer
	toEnd // the body lasts until the connection ends
	done
)

// ErrMalformedResponse says that what came is no reply.
var ErrMalformedResponse = errors.New("malformed reply")

// Take takes bytes off a chain, and says whether the reply is whole. The body has most bytes at the most, and
// each line so many.
func (r *Response) Take(in *buffer.Chain, most, line int) (bool, error) {
	r.most = line
	for in.Len() > 0 && r.step != done {
		piece := in.First()
		n, err := r.piece(piece, most)
		if err != nil {
			return false, err
		}
		in.Skip(n)
	}
	return r.step == done, nil
}

// ConnectionEnded takes in that the connection ended, and says whether that makes the reply whole.
func (r *Response) ConnectionEnded() bool {
	if r.step == toEnd {
		r.step = done
	}
	return r.step == done
}

// piece reads from one piece and returns how much of it was read.
func (r *Response) piece(b []byte, most int) (int, error) {
	switch r.step {
	case body, toEnd:
		n := len(b)
		if r.step == body {
			n = min(n, r.left)
			r.left -= n
		}
		if len(r.Body)+n > most {
			return 0, fmt.Errorf("%w: body over %d bytes", ErrMalformedResponse, most)
		}
		r.Body = append(r.Body, b[:n]...)
		if r.step == body && r.left == 0 {
			r.step = done
			if r.chunked {
				r.step = chunkEnd
			}
		}
		return n, nil
	}
	for i, c := range b {
		if c != '\n' {
			if len(r.line) >= r.most {
				return 0, fmt.Errorf("%w: line over %d bytes", ErrMalformedResponse, r.most)
			}
			r.line = append(r.line, c)
			continue
		}
		text := strings.TrimSuffix(string(r.line), "\r")
		r.line = r.line[:0]
		return i + 1, r.take(text, most)
	}
	return len(b), nil
}

// take reads one line.
func (r *Response) take(text string, most int) error {
	switch r.step {
	case statusLine:
		version, rest, _ := strings.Cut(text, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || status < 100 || status > 999 || version != "HTTP/1.1" && version != "HTTP/1.0" {
			return fmt.Errorf("%w: status line %.40q", ErrMalformedResponse, text)
		}
		r.Status, r.Close, r.step = status, version == "HTTP/1.0", header
	case header:
		if text == "" {
			return r.start(most)
		}
		return r.header(text)
	case chunkSize:
		size, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(r.Body)+int(n) > most {
			return fmt.Errorf("%w: chunk of %.20q", ErrMalformedResponse, text)
		}
		if r.left, r.step = int(n), body; n == 0 {
			r.step = trailer
		}
	case chunkEnd:
		if text != "" {
			return fmt.Errorf("%w: chunk without end", ErrMalformedResponse)
		}
		r.step = chunkSize
	case trailer:
		if text == "" {
			r.step = done
		}
	}
	return nil
}

func (r *Response) header(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("%w: header %.40q", ErrMalformedResponse, text)
	}
	value = strings.ToLower(strings.TrimSpace(value))
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || r.sized && int(n) != r.left {
			return fmt.Errorf("%w: length %.20q", ErrMalformedResponse, value)
		}
		r.sized, r.left = true, int(n)
	case "transfer-encoding":
		if value != "chunked" {
			return fmt.Errorf("%w: encoding %.20q", ErrMalformedResponse, value)
		}
		r.chunked = true
	case "connection":
		r.Close = r.Close && value != "keep-alive" || value == "close"
	}
	return nil
}

// start goes over to the body once the head is whole.
func (r *Response) start(most int) error {
	switch {
	case r.Status < 200: // a note ahead of the reply
		*r = Response{most: r.most}
	case r.chunked:
		r.left, r.step = 0, chunkSize
	case r.Status == 204 || r.Status == 304 || r.sized && r.left == 0:
		r.step = done
	case r.sized && r.left > most:
		return fmt.Errorf("%w: body of %d bytes", ErrMalformedResponse, r.left)
	case r.sized:
		r.step = body
	default:
		r.Close, r.step = true, toEnd
	}
	return nil
}

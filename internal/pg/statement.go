package pg

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Statement holds the routing information of a client's query: the parameters in its last block comment, and a hash of its
// first string literal. The router passes the rest of the query on without parsing it.
type Statement struct {
	Empty             bool    // the text has only white space, comments and semicolons; the other fields are not set
	ID                string  // parameter id: the client's identifier of the command
	HasIdempotencyKey bool    // parameter k is present: by this key a backend recognizes a repeated command
	Group             string  // parameter c: name of the command group
	Shard             int     // parameter cluster: the client's number of the shard
	Wait              float64 // parameter d: how long the client waits for the answer, in seconds from sending the query
	LastWriteAt       float64 // parameter after: time of the session's last write, in Unix seconds; 0 if absent
	ClientRetry       bool    // parameter r: the client has sent this command before
	Session           uint64  // hash of the first string literal, which identifies the session; 0 if there is none
	WaitStart         int     // byte offset in the text at which the digits of parameter d begin
	WaitEnd           int     // byte offset just after the digits of parameter d

	hasGroup bool
	hasShard bool
	hasWait  bool
}

// ParseStatement parses the text of a query: size bytes of a chain, including the final zero byte, that begin at offset. The
// comment with the parameters may have at most maxCommentSize bytes. Its errors are of the type *SyntaxError.
func ParseStatement(in *buffer.Chain, offset, size, maxCommentSize int) (Statement, error) {
	if !endsWithZero(in, offset, size) {
		return Statement{}, syntaxError(size, "the query does not end with a zero byte")
	}
	textScanner := scanner{maxCommentSize: maxCommentSize}
	in.EachPiece(offset, size-1, textScanner.scan)
	if !textScanner.hasText && textScanner.context == contextPlain {
		return Statement{Empty: true}, nil
	}
	if err := textScanner.check(); err != nil {
		return Statement{}, err
	}
	statement := Statement{}
	if textScanner.stringCount > 0 {
		statement.Session = max(1, textScanner.stringHash)
	}
	return statement, statement.parseParameters(string(textScanner.comment), textScanner.commentOffset)
}

// endsWithZero reports whether the last of the size bytes that begin at offset is zero.
func endsWithZero(in *buffer.Chain, offset, size int) bool {
	ends := false
	if size > 0 {
		in.EachPiece(offset+size-1, 1, func(piece []byte) { ends = piece[0] == 0 })
	}
	return ends
}

// check returns an error if the scanned statement cannot be routed.
func (s *scanner) check() error {
	switch {
	case s.context != contextPlain && s.context != contextLineComment:
		return syntaxError(s.offset, "a quote or comment is not closed")
	case s.hasSecondStatement:
		return syntaxError(s.offset, "two statements in one query")
	case s.commentOffset == 0:
		return syntaxError(s.offset, "the comment with id, c, d and cluster is missing")
	case len(s.comment) > s.maxCommentSize:
		return syntaxError(s.commentOffset, fmt.Sprintf("the comment is longer than %d bytes", s.maxCommentSize))
	}
	return nil
}

// syntaxError returns the SyntaxError for a fault that is not in a parameter.
func syntaxError(offset int, reason string) error {
	return &SyntaxError{Offset: offset, Reason: reason}
}

// parseParameters parses the comment, which begins at the given offset of the text. Its parameters have the form name=value
// and are separated by commas. Unknown parameters are ignored.
func (st *Statement) parseParameters(comment string, offset int) error {
	for len(comment) > 0 {
		part, rest, _ := strings.Cut(comment, ",")
		leadingSpace := len(part) - len(strings.TrimLeft(part, " \t\r\n"))
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if ok {
			valueOffset := offset + leadingSpace + len(name) + 1
			if err := st.setParameter(name, value, valueOffset); err != nil {
				return err
			}
		}
		offset += len(part) + 1
		comment = rest
	}
	return st.checkParameters(offset)
}

// checkParameters returns an error that names the first missing required parameter, or nil. offset is the place of the error.
func (st *Statement) checkParameters(offset int) error {
	missing := func(name, reason string) error {
		return &SyntaxError{Offset: offset, Parameter: name, Reason: reason}
	}
	switch {
	case st.ID == "":
		return missing("id", "id is missing")
	case !st.hasGroup:
		return missing("c", "c, the command group, is missing")
	case !st.hasWait:
		return missing("d", "d, the time to wait, is missing")
	case !st.hasShard:
		return missing("cluster", "cluster is missing")
	}
	return nil
}

// setParameter stores one parameter. It returns an error if the value is invalid or a required parameter occurs twice.
func (st *Statement) setParameter(name, value string, offset int) error {
	isRepeated := st.hasParameter(name)
	if err := st.parseParameter(name, value, offset); err != nil {
		reason := fmt.Sprintf("%s=%.20q: %v", name, value, err)
		return &SyntaxError{Offset: offset, Parameter: name, Reason: reason, Err: err}
	}
	if isRepeated {
		return &SyntaxError{Offset: offset, Parameter: name, Reason: name + " stands twice"}
	}
	return nil
}

// hasParameter reports whether the named required parameter has been set. It returns false for optional parameters, which
// may be repeated.
func (st *Statement) hasParameter(name string) bool {
	switch name {
	case "id":
		return st.ID != ""
	case "c":
		return st.hasGroup
	case "d":
		return st.hasWait
	case "cluster":
		return st.hasShard
	}
	return false
}

const millisecondsPerSecond = 1000

// parseParameter parses the value of one parameter and sets its field. offset is the place of the value in the text.
func (st *Statement) parseParameter(name, value string, offset int) (err error) {
	var number int64
	switch name {
	case "id":
		st.ID = value
		err = checkHexadecimal(value)
	case "k":
		st.HasIdempotencyKey = true
		err = checkHexadecimal(value)
	case "c":
		st.hasGroup = true
		st.Group = value
	case "r":
		st.ClientRetry = value == "1"
	case "d":
		number, err = parsePositive(value)
		st.hasWait = true
		st.Wait = float64(number) / millisecondsPerSecond
		st.WaitStart, st.WaitEnd = offset, offset+len(value)
	case "cluster":
		number, err = strconv.ParseInt(value, 10, 32)
		st.hasShard = true
		st.Shard = int(number)
	case "after":
		number, err = strconv.ParseInt(value, 10, 64)
		st.LastWriteAt = float64(number) / millisecondsPerSecond
	}
	return err
}

// errNotPositive is the cause of the SyntaxError for a waiting time (parameter d) that is not above 0.
var errNotPositive = errors.New("it must be above 0")

// parsePositive parses a 32-bit integer that must be above 0.
func parsePositive(value string) (int64, error) {
	number, err := strconv.ParseInt(value, 10, 32)
	if err == nil && number <= 0 {
		err = errNotPositive
	}
	return number, err
}

// maxHexadecimalDigits is the largest number of digits of an id or key. No client uses longer ones.
const maxHexadecimalDigits = 32

// checkHexadecimal returns an error if a value is not a valid id or key.
func checkHexadecimal(value string) error {
	ok := value != "" && len(value) <= maxHexadecimalDigits
	for _, c := range []byte(value) {
		ok = ok && isHexadecimal(c)
	}
	if !ok {
		return fmt.Errorf("it must be hexadecimal, and not longer than %d digits", maxHexadecimalDigits)
	}
	return nil
}

// isHexadecimal reports whether a byte is a hexadecimal digit.
func isHexadecimal(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'A' && c <= 'F' || c >= 'a' && c <= 'f'
}

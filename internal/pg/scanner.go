package pg

// scanContext is the kind of text that a scanner is in.
type scanContext int

const (
	contextPlain         scanContext = iota
	contextString                    // 'a literal'
	contextEscapedString             // E'a literal with backslashes'
	contextIdentifier                // "a quoted identifier"
	contextLineComment               // -- to the end of the line
	contextBlockComment              // /* may be nested */
)

// scanner goes over a statement byte by byte, so that the statement may lie in pieces. It finds the statement's last
// block comment, hashes its first string, and notices a second statement.
type scanner struct {
	maxComment int // bytes of a comment that are kept, but for one more that tells that it is longer
	offset     int // bytes scanned
	context    scanContext
	depth      int // of nested block comments
	previous   byte

	hasText       bool // there is something but space and comments
	afterEnd      bool // a semicolon was seen
	hasSecond     bool // there is text behind a semicolon
	strings       int  // strings so far
	stringHash    uint64
	comment       []byte // the last block comment, without its delimiters
	commentOffset int    // where it begins; 0: there was none
}

// Parameters of the 64-bit FNV-1a hash.
const (
	hashStart = 14695981039346656037
	hashPrime = 1099511628211
)

// scan scans one piece of the statement.
func (s *scanner) scan(piece []byte) {
	for _, c := range piece {
		s.step(c)
		s.offset++
	}
}

// step scans one byte.
func (s *scanner) step(c byte) {
	previous := s.previous
	s.previous = c
	switch s.context {
	case contextPlain:
		s.stepPlain(previous, c)
	case contextString, contextEscapedString:
		s.stepString(previous, c)
	case contextIdentifier:
		if c == '"' {
			s.context = contextPlain
		}
	case contextLineComment:
		if c == '\n' {
			s.context = contextPlain
		}
	case contextBlockComment:
		s.stepBlockComment(previous, c)
	}
}

// stepPlain scans a byte outside strings, identifiers and comments.
func (s *scanner) stepPlain(previous, c byte) {
	switch {
	case isSpace(c):
	case previous == '-' && c == '-':
		s.context = contextLineComment
	case previous == '/' && c == '*':
		s.context = contextBlockComment
		s.depth = 1
		s.previous = 0
		s.comment = s.comment[:0]
		s.commentOffset = s.offset + 1
	case c == '/' || c == '-': // the beginning of a comment, or an operator, which has text on either side
	case c == ';':
		s.afterEnd = true
	default:
		s.stepText(previous, c)
	}
}

// stepText scans a byte of the statement's text proper.
func (s *scanner) stepText(previous, c byte) {
	s.hasText = true
	s.hasSecond = s.hasSecond || s.afterEnd
	switch c {
	case '\'':
		s.context = contextString
		if previous == 'E' || previous == 'e' {
			s.context = contextEscapedString
		}
		s.strings++
		if s.strings == 1 {
			s.stringHash = hashStart
		}
	case '"':
		s.context = contextIdentifier
	}
}

// stepString scans a byte of a string or its closing quote. A doubled quote ends the string and begins another.
func (s *scanner) stepString(previous, c byte) {
	switch {
	case s.context == contextEscapedString && previous == '\\':
		s.previous = 0 // an escaped backslash escapes nothing
	case c == '\'':
		s.context = contextPlain
		return
	}
	if s.strings == 1 {
		s.stringHash = (s.stringHash ^ uint64(c)) * hashPrime
	}
}

// stepBlockComment scans a byte of a block comment or its end.
func (s *scanner) stepBlockComment(previous, c byte) {
	switch {
	case previous == '*' && c == '/':
		s.previous = 0
		s.depth--
		if s.depth == 0 {
			s.endBlockComment()
			return
		}
	case previous == '/' && c == '*':
		s.previous = 0
		s.depth++
	}
	if len(s.comment) <= s.maxComment {
		s.comment = append(s.comment, c)
	}
}

// endBlockComment takes the closing delimiter's star off the comment, unless the comment is too long anyway.
func (s *scanner) endBlockComment() {
	s.context = contextPlain
	if len(s.comment) <= s.maxComment {
		s.comment = s.comment[:max(0, len(s.comment)-1)]
	}
}

// isSpace reports whether PostgreSQL takes a byte for white space.
func isSpace(c byte) bool {
	switch c {
	case ' ', '\t', '\n', '\r', '\f':
		return true
	}
	return false
}

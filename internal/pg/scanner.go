package pg

// scanContext is the lexical context of the byte that a scanner reads next.
type scanContext int

const (
	contextPlain         scanContext = iota
	contextString                    // 'a literal'
	contextEscapedString             // E'a literal with backslashes'
	contextIdentifier                // "a quoted identifier"
	contextLineComment               // -- to the end of the line
	contextBlockComment              // /* a comment, which may contain others */
)

// scanner scans a statement byte by byte, so the statement need not be contiguous in memory. It finds the statement's last
// block comment, hashes its first string literal, and detects a second statement.
type scanner struct {
	// maxCommentSize is the largest size of a comment's text and the star that closes it, in bytes. The scanner stores one
	// byte more, which shows that a comment is longer.
	maxCommentSize int
	offset         int // number of bytes scanned
	context        scanContext
	depth          int  // nesting depth of block comments
	previous       byte // the byte before the current one; 0 if it must not form a token with the current one

	hasText            bool   // there is text other than white space, comments and semicolons
	seenSemicolon      bool   // a semicolon was scanned
	hasSecondStatement bool   // there is text after a semicolon
	stringCount        int    // number of string literals so far; a doubled quote begins another
	stringHash         uint64 // FNV-1a hash of the first string literal
	comment            []byte // the last block comment, without its delimiters
	commentOffset      int    // byte offset of the last block comment's text; 0 if there is no block comment
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
	case c == '/' || c == '-': // may begin a comment; an operator has other text on either side, which sets hasText
	case c == ';':
		s.seenSemicolon = true
	default:
		s.stepText(previous, c)
	}
}

// stepText scans a byte that is neither white space nor part of a comment, and enters a string or quoted identifier.
func (s *scanner) stepText(previous, c byte) {
	s.hasText = true
	s.hasSecondStatement = s.hasSecondStatement || s.seenSemicolon
	switch c {
	case '\'':
		s.context = contextString
		if previous == 'E' || previous == 'e' {
			s.context = contextEscapedString
		}
		s.stringCount++
		if s.stringCount == 1 {
			s.stringHash = hashStart
		}
	case '"':
		s.context = contextIdentifier
	}
}

// stepString scans a byte of a string literal or its closing quote. It treats a doubled quote as the end of one string and
// the beginning of another.
func (s *scanner) stepString(previous, c byte) {
	switch {
	case s.context == contextEscapedString && previous == '\\':
		s.previous = 0 // an escaped backslash does not escape the next byte
	case c == '\'':
		s.context = contextPlain
		return
	}
	if s.stringCount == 1 {
		s.stringHash = (s.stringHash ^ uint64(c)) * hashPrime
	}
}

// stepBlockComment scans a byte of a block comment or of its closing delimiter.
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
	if len(s.comment) <= s.maxCommentSize {
		s.comment = append(s.comment, c)
	}
}

// endBlockComment ends a block comment and removes the star of the closing delimiter from the stored text, unless the comment
// is too long and therefore invalid.
func (s *scanner) endBlockComment() {
	s.context = contextPlain
	if len(s.comment) <= s.maxCommentSize {
		s.comment = s.comment[:max(0, len(s.comment)-1)]
	}
}

// isSpace reports whether a byte is white space to PostgreSQL.
func isSpace(c byte) bool {
	switch c {
	case ' ', '\t', '\n', '\r', '\f':
		return true
	}
	return false
}

package pg

// Places of the scanner in a statement.
const (
	plain = iota
	quoted
	escaped
	named
	line
	block
)

// scanner goes over a statement byte by byte, so that it may lie in pieces.
type scanner struct {
	most             int // bytes of a comment
	at, place, depth int
	prev             byte
	any, ended, over bool   // something but space; a semicolon; something behind that
	literals         int    // quoted values so far
	key              uint64 // hash of the first
	comment          []byte // the last comment
	commentAt        int
}

// FNV-1a, 64 bits.
const (
	hashStart = 14695981039346656037
	hashPrime = 1099511628211
)

func (s *scanner) piece(b []byte) {
	for _, c := range b {
		s.step(c)
		s.at++
	}
}

func (s *scanner) step(c byte) {
	prev := s.prev
	s.prev = c
	switch s.place {
	case plain:
		s.plainly(prev, c)
	case quoted, escaped:
		switch {
		case s.place == escaped && prev == '\\':
			s.prev = 0 // an escaped backslash escapes nothing
		case c == '\'':
			s.place = plain
		}
		if s.place != plain && s.literals == 1 {
			s.key = (s.key ^ uint64(c)) * hashPrime
		}
	case named:
		if c == '"' {
			s.place = plain
		}
	case line:
		if c == '\n' {
			s.place = plain
		}
	case block:
		switch {
		case prev == '*' && c == '/':
			s.prev = 0
			if s.depth--; s.depth == 0 {
				s.place = plain
				if len(s.comment) <= s.most {
					s.comment = s.comment[:max(0, len(s.comment)-1)] // its end's star
				}
				return
			}
		case prev == '/' && c == '*':
			s.prev = 0
			s.depth++
		}
		if len(s.comment) <= s.most {
			s.comment = append(s.comment, c)
		}
	}
}

func (s *scanner) plainly(prev, c byte) {
	switch {
	case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
		return
	case prev == '-' && c == '-':
		s.place = line
		return
	case prev == '/' && c == '*':
		s.place, s.depth, s.prev = block, 1, 0
		s.comment, s.commentAt = s.comment[:0], s.at+1
		return
	case c == '/' || c == '-':
		return // a comment's start, or an operator between what counts anyway
	case c == ';':
		s.ended = true
		return
	}
	s.any = true
	s.over = s.over || s.ended
	switch c {
	case '\'':
		s.place = quoted
		if prev == 'E' || prev == 'e' {
			s.place = escaped
		}
		if s.literals++; s.literals == 1 {
			s.key = hashStart
		}
	case '"':
		s.place = named
	}
}

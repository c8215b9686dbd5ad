package sexp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// document is the root of the grammar. Text that cannot be an atom is quoted, with the escapes \" \\ \n \t \r and \xHH.
type document struct {
	Nodes []*node `parser:"@@*"`
}

type node struct {
	Pos  lexer.Position
	Atom *string `parser:"  @Atom"`
	Str  *string `parser:"| @String"`
	List *list   `parser:"| @@"`
}

type list struct {
	Open  string  `parser:"@'('"`
	Nodes []*node `parser:"@@* ')'"`
}

var grammar = participle.MustBuild[document](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `[ \t\r\n]+`},
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Paren", Pattern: `[()]`},
		{Name: "Atom", Pattern: `[^\s()";\x00-\x1f\x7f]+`},
	})),
	participle.Elide("Comment", "Space"),
)

// Read parses the text of a file. The errors of invalid text are of type *Error and name the file.
func Read(file string, text []byte) ([]Node, error) {
	start := Position{file, 1, 1}
	if len(text) > MaxFileBytes {
		return nil, errorAt(start, "the file has %d bytes, at most %d are allowed", len(text), MaxFileBytes)
	}
	if !utf8.Valid(text) {
		return nil, errorAt(start, "the file is not UTF-8")
	}
	if err := checkNesting(file, text); err != nil {
		return nil, err
	}
	parsed, err := grammar.ParseBytes(file, text)
	if err != nil {
		var syntax participle.Error
		if errors.As(err, &syntax) {
			at := syntax.Position()
			return nil, errorAt(Position{file, at.Line, at.Column}, "%s", syntax.Message())
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return toNodes(file, parsed.Nodes)
}

// nestingScanner scans a text byte by byte and tracks the open brackets.
type nestingScanner struct {
	file      string
	text      []byte
	next      int        // index of the byte to scan next
	line      int        // line of that byte, from 1
	lineStart int        // index of the first byte of the line
	open      []Position // of the brackets that are not closed yet
}

// checkNesting limits the nesting of lists before the text gets to the parser, which is recursive. It also reports the
// position of a bracket that is never closed; the parser would report the end of the file.
func checkNesting(file string, text []byte) error {
	s := &nestingScanner{file: file, text: text, line: 1}
	for ; s.next < len(text); s.next++ {
		if err := s.scan(); err != nil {
			return err
		}
	}
	if last := len(s.open) - 1; last >= 0 {
		return errorAt(s.open[last], "this bracket is never closed")
	}
	return nil
}

func (s *nestingScanner) position() Position {
	return Position{s.file, s.line, s.next - s.lineStart + 1}
}

func (s *nestingScanner) newLine() { s.line, s.lineStart = s.line+1, s.next+1 }

// scan handles the next byte, or the whole comment or string that begins with it.
func (s *nestingScanner) scan() error {
	switch s.text[s.next] {
	case '\n':
		s.newLine()
	case ';':
		s.skipComment()
	case '"':
		return s.skipString()
	case '(':
		s.open = append(s.open, s.position())
		if len(s.open) > MaxDepth {
			return errorAt(s.position(), "lists nest more than %d deep", MaxDepth)
		}
	case ')':
		if len(s.open) == 0 {
			return errorAt(s.position(), "this bracket closes nothing")
		}
		s.open = s.open[:len(s.open)-1]
	}
	return nil
}

// skipComment sets next to the last byte of the comment.
func (s *nestingScanner) skipComment() {
	for s.next+1 < len(s.text) && s.text[s.next+1] != '\n' {
		s.next++
	}
}

// skipString sets next to the closing quote.
func (s *nestingScanner) skipString() error {
	start := s.position()
	for s.next++; s.next < len(s.text) && s.text[s.next] != '"'; s.next++ {
		switch s.text[s.next] {
		case '\\':
			s.next++
		case '\n':
			s.newLine()
		}
	}
	if s.next >= len(s.text) {
		return errorAt(start, "this string is never closed")
	}
	return nil
}

func toNodes(file string, parsed []*node) ([]Node, error) {
	var nodes []Node
	for _, p := range parsed {
		n, err := toNode(file, p)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func toNode(file string, parsed *node) (n Node, err error) {
	n.Position = Position{file, parsed.Pos.Line, parsed.Pos.Column}
	switch {
	case parsed.Atom != nil:
		n.Text = *parsed.Atom
	case parsed.Str != nil:
		n.Quoted = true
		if n.Text, err = unquote(*parsed.Str); err != nil {
			return Node{}, errorAt(n.Position, "%s", err)
		}
	default:
		n.IsList = true
		if n.List, err = toNodes(file, parsed.List.Nodes); err != nil {
			return Node{}, err
		}
	}
	return n, nil
}

// plainEscapes maps the character after a backslash to the byte that the escape stands for. The escape \xHH, for any
// byte, is decoded separately.
var plainEscapes = map[byte]byte{'"': '"', '\\': '\\', 'n': '\n', 't': '\t', 'r': '\r'}

var errHexEscape = errors.New(`\x must be followed by two hexadecimal digits`)

// unquote removes the quotes of a string and decodes its escapes.
func unquote(quoted string) (string, error) {
	inner := quoted[1 : len(quoted)-1]
	var text strings.Builder
	for i := 0; i < len(inner); i++ {
		if inner[i] != '\\' {
			text.WriteByte(inner[i])
			continue
		}
		i++
		if plain, known := plainEscapes[inner[i]]; known {
			text.WriteByte(plain)
			continue
		}
		if inner[i] != 'x' {
			return "", fmt.Errorf(`unknown escape \%c`, inner[i])
		}
		if i+2 >= len(inner) {
			return "", errHexEscape
		}
		value, err := strconv.ParseUint(inner[i+1:i+3], 16, 8)
		if err != nil {
			return "", errHexEscape
		}
		text.WriteByte(byte(value))
		i += 2
	}
	return text.String(), nil
}

// Package sexp reads and prints S-expressions, the form of the operators' own files, and decodes them into
// typed values. Every error names file, line and column.
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

// Bounds of a file: an operator's file is short, and what is longer or deeper is a mistake. Bytes, levels.
const (
	MaxFileBytes = 4 << 20
	MaxDepth     = 64
)

// Position is where something stands in a file; lines and columns count from 1.
type Position struct {
	File         string
	Line, Column int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is an error at a place.
type Error struct {
	Position Position
	Reason   string
}

func (f *Error) Error() string { return f.Position.String() + ": " + f.Reason }

// Node is an atom, a string or a list.
type Node struct {
	Position Position
	Text     string // of an atom or a string
	Quoted   bool   // a string
	List     []Node // if IsList
	IsList   bool
}

// Atom returns a node of bare text, or a string where the text cannot stand bare.
func Atom(text string) Node { return Node{Text: text, Quoted: !isBareAtom(text)} }

// List returns a node that holds others.
func List(nodes ...Node) Node { return Node{List: nodes, IsList: true} }

// The grammar. Text that is no bare atom is quoted, with the escapes \" \\ \n \t \r and \xHH.
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

// Read parses a file's text. file is its name in errors, which are of type *Fault.
func Read(file string, text []byte) ([]Node, error) {
	if len(text) > MaxFileBytes {
		return nil, &Error{Position{file, 1, 1}, fmt.Sprintf("the file has %d bytes, %d at most", len(text), MaxFileBytes)}
	}
	if !utf8.Valid(text) {
		return nil, &Error{Position{file, 1, 1}, "the file is not UTF-8"}
	}
	if err := checkNesting(file, text); err != nil {
		return nil, err
	}
	doc, err := grammar.ParseBytes(file, text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			p := at.Position()
			return nil, &Error{Position{file, p.Line, p.Column}, at.Message()}
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return toNodes(file, doc.Nodes)
}

// checkNesting bounds the nesting before the parser, which recurses, sees the text; it also tells the place of a
// bracket that is never closed, which the parser would put at the end of the file.
func checkNesting(file string, text []byte) error {
	line, start := 1, 0
	var open []Position
	for i := 0; i < len(text); i++ {
		at := Position{file, line, i - start + 1}
		switch text[i] {
		case '\n':
			line, start = line+1, i+1
		case ';':
			for i+1 < len(text) && text[i+1] != '\n' {
				i++
			}
		case '"':
			for i++; i < len(text) && text[i] != '"'; i++ {
				switch text[i] {
				case '\\':
					i++
				case '\n':
					line, start = line+1, i+1
				}
			}
			if i >= len(text) {
				return &Error{at, "this string is never closed"}
			}
		case '(':
			if open = append(open, at); len(open) > MaxDepth {
				return &Error{at, fmt.Sprintf("lists nest more than %d deep", MaxDepth)}
			}
		case ')':
			if len(open) == 0 {
				return &Error{at, "this bracket closes nothing"}
			}
			open = open[:len(open)-1]
		}
	}
	if len(open) > 0 {
		return &Error{open[len(open)-1], "this bracket is never closed"}
	}
	return nil
}

func toNodes(file string, nodes []*node) ([]Node, error) {
	var out []Node
	for _, n := range nodes {
		c := Node{Position: Position{file, n.Pos.Line, n.Pos.Column}}
		switch {
		case n.Atom != nil:
			c.Text = *n.Atom
		case n.Str != nil:
			text, err := unquote(*n.Str)
			if err != nil {
				return nil, &Error{c.Position, err.Error()}
			}
			c.Text, c.Quoted = text, true
		default:
			c.IsList = true
			var err error
			if c.List, err = toNodes(file, n.List.Nodes); err != nil {
				return nil, err
			}
		}
		out = append(out, c)
	}
	return out, nil
}

func unquote(quoted string) (string, error) {
	inner := quoted[1 : len(quoted)-1]
	var b strings.Builder
	for i := 0; i < len(inner); i++ {
		if inner[i] != '\\' {
			b.WriteByte(inner[i])
			continue
		}
		i++
		switch inner[i] {
		case '"', '\\':
			b.WriteByte(inner[i])
		case 'n':
			b.WriteByte('\n')
		case 't':
			b.WriteByte('\t')
		case 'r':
			b.WriteByte('\r')
		case 'x':
			if i+2 >= len(inner) {
				return "", errors.New(`\x wants two hexadecimal digits`)
			}
			v, err := strconv.ParseUint(inner[i+1:i+3], 16, 8)
			if err != nil {
				return "", errors.New(`\x wants two hexadecimal digits`)
			}
			b.WriteByte(byte(v))
			i += 2
		default:
			return "", fmt.Errorf(`unknown escape \%c`, inner[i])
		}
	}
	return b.String(), nil
}

func isBareAtom(text string) bool {
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c == 0x7f || strings.IndexByte(`()";`, c) >= 0 {
			return false
		}
	}
	return text != "" && utf8.ValidString(text)
}

func quote(text string) string {
	var b strings.Builder
	b.WriteByte('"')
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteByte(c)
		case c == '\n':
			b.WriteString(`\n`)
		case c == '\t':
			b.WriteString(`\t`)
		case c == '\r':
			b.WriteString(`\r`)
		case c < ' ' || c >= 0x7f:
			fmt.Fprintf(&b, `\x%02x`, c)
		default:
			b.WriteByte(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// maxLineWidth is how long a list may be before its parts get lines of their own, in characters.
const maxLineWidth = 100

// Print returns text that Read gives back as the same nodes, but for their places.
func Print(nodes []Node) []byte {
	var b strings.Builder
	for _, n := range nodes {
		n.print(&b, 0)
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

func (n Node) print(b *strings.Builder, indent int) {
	flat := n.flat()
	if !n.IsList || indent+len(flat) <= maxLineWidth {
		b.WriteString(flat)
		return
	}
	b.WriteByte('(')
	for i, c := range n.List {
		if i > 0 && c.IsList {
			b.WriteByte('\n')
			b.WriteString(strings.Repeat(" ", indent+2))
		} else if i > 0 {
			b.WriteByte(' ')
		}
		c.print(b, indent+2)
	}
	b.WriteByte(')')
}

func (n Node) flat() string {
	switch {
	case n.Quoted || !n.IsList && !isBareAtom(n.Text):
		return quote(n.Text)
	case !n.IsList:
		return n.Text
	}
	parts := make([]string, len(n.List))
	for i, c := range n.List {
		parts[i] = c.flat()
	}
	return "(" + strings.Join(parts, " ") + ")"
}

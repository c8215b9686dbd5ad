package sexp

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxLineWidth is the width in bytes, with indentation, up to which a list is printed on one line.
const maxLineWidth = 100

// indentWidth is the number of spaces by which the elements of a list are indented.
const indentWidth = 2

// isBareAtom reports whether the text can be printed as an atom, without quotes.
func isBareAtom(text string) bool {
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c == 0x7f || strings.IndexByte(`()";`, c) >= 0 {
			return false
		}
	}
	return text != "" && utf8.ValidString(text)
}

// quote returns the text in quotes, with escapes.
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

// Print returns text that Read parses into the same nodes, except for their positions.
func Print(nodes []Node) []byte {
	var b strings.Builder
	for _, n := range nodes {
		n.print(&b, 0)
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

// print writes a node to b, on one line if it fits. indent is the indentation of the list around it.
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
			b.WriteString(strings.Repeat(" ", indent+indentWidth))
		} else if i > 0 {
			b.WriteByte(' ')
		}
		c.print(b, indent+indentWidth)
	}
	b.WriteByte(')')
}

// flat returns the node as one line of text.
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

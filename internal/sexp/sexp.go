// Package sexp reads and prints S-expressions, the syntax of the files that operators write, and decodes them into
// typed values. Every error names the file, line and column.
package sexp

import "fmt"

// Limits of a file. Operators' files are short, so a longer or more deeply nested file is a mistake.
const (
	MaxFileBytes = 4 << 20
	MaxDepth     = 64 // levels of nested lists
)

// Position is a place in a file. Lines and columns count from 1. Stored records encode it under its field names, so
// these cannot change.
type Position struct {
	File         string
	Line, Column int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is a syntax or value error at a position of a file.
type Error struct {
	Position Position
	Reason   string
}

func (e *Error) Error() string { return e.Position.String() + ": " + e.Reason }

func errorAt(at Position, format string, args ...any) error {
	return &Error{Position: at, Reason: fmt.Sprintf(format, args...)}
}

// Node is an atom, a string or a list.
type Node struct {
	Position Position
	Text     string // text of an atom, or of a string without its quotes and escapes
	Quoted   bool   // whether the node is a string
	List     []Node // elements, if IsList
	IsList   bool
}

// Atom returns an atom of the text, or a string if the text needs quotes.
func Atom(text string) Node { return Node{Text: text, Quoted: !isBareAtom(text)} }

// List returns a list of the nodes.
func List(nodes ...Node) Node { return Node{List: nodes, IsList: true} }

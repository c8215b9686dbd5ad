// Package sexp reads and prints S-expressions, the form of the operators' own files, and decodes them into
// typed values. Every error names file, line and column.
package sexp

import "fmt"

// Bounds of a file: an operator's file is short, and what is longer or deeper is a mistake.
const (
	MaxFileBytes = 4 << 20
	MaxDepth     = 64 // of lists within lists
)

// Position is where something stands in a file; lines and columns count from 1. It is stored under its fields' names.
type Position struct {
	File         string
	Line, Column int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error says what is wrong at a position.
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
	Text     string // of an atom or a string
	Quoted   bool   // a string
	List     []Node // if IsList
	IsList   bool
}

// Atom returns a node of bare text, or a string where the text cannot stand bare.
func Atom(text string) Node { return Node{Text: text, Quoted: !isBareAtom(text)} }

// List returns a node that holds others.
func List(nodes ...Node) Node { return Node{List: nodes, IsList: true} }

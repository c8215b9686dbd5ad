package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"
)

// asJSON gives a command the flag --json.
func (a *app) asJSON(cs ...*cobra.Command) {
	for _, c := range cs {
		c.Flags().BoolVar(&a.json, "json", false, "print one JSON object on standard output")
	}
}

// show prints a value as JSON, or as text for people.
func (a *app) show(v any, text func(w io.Writer)) error {
	if !a.json {
		text(a.out)
		return nil
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("json: %w", err)
	}
	_, err = fmt.Fprintf(a.out, "%s\n", raw)
	return err
}

// grid is a table for people.
func grid(w io.Writer, columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	t.SetStyle(style)
	t.AppendHeader(table.Row(columns))
	return t
}

package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"
)

// addJSONFlag adds the flag --json, which show uses, to a command.
func (a *app) addJSONFlag(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&a.asJSON, "json", false, "print one JSON object on standard output")
}

// show prints a value on standard output: with --json as one line of JSON, otherwise as the text that printText writes.
func (a *app) show(value any, printText func(out io.Writer)) error {
	if !a.asJSON {
		printText(a.stdout)
		return nil
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("json: %w", err)
	}
	_, err = fmt.Fprintf(a.stdout, "%s\n", encoded)
	return err
}

// printf writes text for people. It ignores write errors: if a reader such as head closes the pipe, the command has not failed.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// newTable returns a table with the given column names that renders to out as text.
func newTable(out io.Writer, columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	t.SetStyle(style)
	t.AppendHeader(table.Row(columns))
	return t
}

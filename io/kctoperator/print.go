package kctoperator

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	kctport "kingcupturn"
)

// printJSON prints the output of an encoder as one line; it accepts the encoder's two results.
func (t *cli) printJSON(data []byte, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.stdout, "%s\n", data)
	return err
}

// printTable prints rows of cells in aligned columns.
func (t *cli) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// table describes how one part of the configuration is printed, as a table or as JSON, and the command that prints it.
type table struct {
	name, usage, help string
	header            []string
	rows              func(kctport.Config) [][]string
	json              func(kctport.Config) ([]byte, error)
}

// show returns a command that reads the configuration and prints the table.
func (t *cli) show(b table) *ffcli.Command {
	return t.command(commandSpec{
		name: b.name, usage: b.usage, help: b.help, set: t.flags(b.name),
		run: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, t.timeout)
			defer cancel()
			config, err := t.config(ctx)
			if err != nil {
				return err
			}
			return t.print(b, config)
		},
	})
}

func (t *cli) print(b table, config kctport.Config) error {
	if t.json {
		return t.printJSON(b.json(config))
	}
	return t.printTable(append([][]string{b.header}, b.rows(config)...))
}

// rowsOf formats each element of a list as one row.
func rowsOf[A any](list []A, row func(A) []string) [][]string {
	rows := make([][]string, 0, len(list))
	for _, a := range list {
		rows = append(rows, row(a))
	}
	return rows
}

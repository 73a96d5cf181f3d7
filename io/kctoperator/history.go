package kctoperator

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
)

func (t *cli) history() *ffcli.Command {
	set := t.flags("history")
	count := set.Int("count", 50, "how many of the newest changes to print")
	b := table{
		header: []string{"REVISION", "TIME", "AUTHOR", "KIND", "CHANGE"},
		rows:   func(c kctport.Config) [][]string { return rowsOf(c.History, historyRow) },
		json:   func(c kctport.Config) ([]byte, error) { return kctcodec.EncodeHistory(c.History) },
	}
	return t.command(commandSpec{
		name: "history", usage: "history", help: "print the accepted changes, the newest last", set: set,
		run: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, t.timeout)
			defer cancel()
			config, err := t.config(ctx)
			if err != nil {
				return err
			}
			config.History = config.History[max(0, len(config.History)-max(0, *count)):]
			return t.print(b, config)
		},
	})
}

// historyRow returns the cells of one change in the history table.
func historyRow(c kctport.Change) []string {
	return []string{fmt.Sprint(c.Revision), c.At.Format(time.RFC3339), c.Author, string(c.Kind), c.Summary}
}

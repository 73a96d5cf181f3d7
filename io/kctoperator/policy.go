package kctoperator

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/io/kctcodec"
)

// fieldHelp lists the policy fields and the exit codes.
func fieldHelp() string {
	return "FIELD is one of " + strings.Join(kctconfig.Fields(), ", ") + ".\n\n" + codeHelp
}

func (t *cli) defaultSet() *ffcli.Command {
	return t.command(commandSpec{
		name: "set", usage: "default set FIELD VALUE", help: "set a default", long: fieldHelp(),
		arguments: 2, set: t.changeFlags("set"),
		run: func(ctx context.Context, args []string) error {
			return t.change(ctx, kctport.ChangeRequest{Kind: kctport.SetDefault, Field: args[0], Value: args[1]})
		},
	})
}

func (t *cli) defaultShow() *ffcli.Command {
	return t.show(table{
		name: "show", usage: "default show", help: "print the defaults in force",
		header: []string{"FIELD", "VALUE"}, rows: policyRows,
		json: func(c kctport.Config) ([]byte, error) { return kctcodec.EncodePolicy(c.Defaults) },
	})
}

func policyRows(c kctport.Config) [][]string {
	p := c.Defaults
	return [][]string{
		{"objective", p.Objective.String()},
		{"share", fmt.Sprint(p.ObjectiveShare)},
		{"deadline", p.Deadline.String()},
		{"hedge", fmt.Sprint(p.Hedge)},
		{"canary", fmt.Sprint(p.Canary)},
		{"budget", fmt.Sprint(p.Budget)},
		{"queue", fmt.Sprint(p.Queue)},
		{"warmup", p.Warmup.String()},
	}
}

func (t *cli) exceptionAdd() *ffcli.Command {
	var e kctport.Exception
	set := t.changeFlags("add")
	set.StringVar(&e.Name, "name", "", "unique name of the exception")
	set.StringVar((*string)(&e.Service), "service", "", "service that it applies to")
	set.StringVar(&e.Reason, "reason", "", "why the service differs")
	return t.command(commandSpec{
		name: "add", usage: "exception add --name NAME --service SERVICE --reason REASON FIELD VALUE",
		help: "set one field for one service", long: fieldHelp(), arguments: 2, set: set,
		run: func(ctx context.Context, args []string) error {
			e.Field, e.Value = args[0], args[1]
			return t.change(ctx, kctport.ChangeRequest{Kind: kctport.AddException, Exception: e})
		},
	})
}

func (t *cli) exceptionRemove() *ffcli.Command {
	return t.command(commandSpec{
		name: "remove", usage: "exception remove NAME", help: "return a service to the default", long: codeHelp,
		arguments: 1, set: t.changeFlags("remove"),
		run: func(ctx context.Context, args []string) error {
			return t.change(ctx, kctport.ChangeRequest{Kind: kctport.RemoveException, Exception: kctport.Exception{Name: args[0]}})
		},
	})
}

func (t *cli) exceptionList() *ffcli.Command {
	return t.show(table{
		name: "list", usage: "exception list", help: "print the exceptions in force with their reasons",
		header: []string{"NAME", "SERVICE", "FIELD", "VALUE", "REASON"},
		rows: func(c kctport.Config) [][]string {
			return rowsOf(c.Exceptions, func(e kctport.Exception) []string {
				return []string{e.Name, string(e.Service), e.Field, e.Value, e.Reason}
			})
		},
		json: func(c kctport.Config) ([]byte, error) { return kctcodec.EncodeExceptions(c.Exceptions) },
	})
}

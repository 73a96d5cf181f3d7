package kctoperator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
)

func (t *cli) moveStart() *ffcli.Command {
	var m kctport.Move
	set := t.changeFlags("start")
	set.StringVar((*string)(&m.From), "from", "", "version that has the traffic")
	set.StringVar((*string)(&m.To), "to", "", "version that gets the traffic")
	deadline := set.String("deadline", "", "when the move must be done: a time in RFC 3339, or a duration from now")
	return t.command(commandSpec{
		name: "start", usage: "move start SERVICE --from VERSION --to VERSION --deadline TIME",
		help: "move a service's traffic to another version by a deadline",
		long: "The new version gets at most 5% of the traffic until it is judged good. A bad version is\n" +
			"taken back, and so is a move that lacks the evidence to finish by its deadline; move show says why.\n\n" + codeHelp,
		arguments: 1, set: set,
		run: func(ctx context.Context, args []string) error {
			m.Service = kctport.ServiceName(args[0])
			at, err := parseDeadline(t.timer.Now(), *deadline)
			if err != nil {
				return err
			}
			m.Deadline = at
			return t.change(ctx, kctport.ChangeRequest{Kind: kctport.StartMove, Move: m})
		},
	})
}

// parseDeadline accepts a time in RFC 3339 or a duration from now.
func parseDeadline(now time.Time, text string) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, eris.Wrapf(errUsage, "deadline %q: must be a time in RFC 3339 or a duration from now", text)
	}
	return at, nil
}

// moveTable prints the moves of a configuration with their evidence.
var moveTable = table{
	header: []string{"SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "EVIDENCE"},
	rows: func(c kctport.Config) [][]string {
		return rowsOf(c.Moves, func(m kctport.Move) []string {
			return []string{
				string(m.Service), string(m.From), string(m.To), string(m.State),
				fmt.Sprintf("%.3g%%", 100*m.Share), m.Deadline.Format(time.RFC3339), m.Evidence,
			}
		})
	},
	json: func(c kctport.Config) ([]byte, error) { return kctcodec.EncodeMoves(c.Moves) },
}

func (t *cli) moveShow() *ffcli.Command {
	set := t.flags("show")
	service := set.String("service", "", "show only the move of this service")
	wait := set.Bool("wait", false, "return only when no shown move is running; set --timeout accordingly")
	return t.command(commandSpec{
		name: "show", usage: "move show", help: "print the moves with their evidence",
		long: "Exit codes: 0 printed, 1 other error, or with --wait a move that was taken back or is still running, 2 usage.",
		set:  set,
		run: func(ctx context.Context, _ []string) error {
			return t.showMoves(ctx, kctport.ServiceName(*service), *wait)
		},
	})
}

// showMoves prints the moves, with wait only when none is running or the command times out.
func (t *cli) showMoves(ctx context.Context, service kctport.ServiceName, wait bool) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	config, err := t.readMoves(ctx, service)
	for wait && ctx.Err() == nil && (err != nil || hasState(config.Moves, kctport.MoveRunning)) {
		select {
		case <-ctx.Done():
		case <-t.timer.After(ctx, pollInterval):
		}
		next, nextErr := t.readMoves(ctx, service)
		// After a first successful read, failed reads are ignored, since entries may be unreachable for a while.
		if nextErr == nil || err != nil {
			config, err = next, nextErr
		}
	}
	if err != nil {
		return err
	}
	if err := t.print(moveTable, config); err != nil {
		return err
	}
	return t.waitError(config.Moves, wait)
}

// readMoves returns the configuration with only the moves of the service; an empty service selects all.
func (t *cli) readMoves(ctx context.Context, service kctport.ServiceName) (kctport.Config, error) {
	config, err := t.config(ctx)
	config.Moves = slices.DeleteFunc(config.Moves, func(m kctport.Move) bool { return service != "" && m.Service != service })
	return config, err
}

func hasState(moves []kctport.Move, state kctport.MoveState) bool {
	return slices.ContainsFunc(moves, func(m kctport.Move) bool { return m.State == state })
}

// waitError returns the error of a command that waited for moves: ErrTimeout for one still running, ErrFailed for a reverted one.
func (t *cli) waitError(moves []kctport.Move, wait bool) error {
	switch {
	case wait && hasState(moves, kctport.MoveRunning):
		return eris.Wrapf(kctport.ErrTimeout, "a move is still running after %s", t.timeout)
	case wait && hasState(moves, kctport.MoveReverted):
		return eris.Wrap(kctport.ErrFailed, "a move was taken back")
	}
	return nil
}

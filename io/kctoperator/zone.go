package kctoperator

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
)

func (t *cli) zoneOut() *ffcli.Command {
	set := t.changeFlags("out")
	reason := set.String("reason", "", "why the zone is taken out")
	return t.command(commandSpec{
		name: "out", usage: "zone out ZONE --reason REASON", help: "take a zone out of service",
		long:      "The zone gets no new work after 5 s; work in progress ends.\n\n" + codeHelp,
		arguments: 1, set: set,
		run: func(ctx context.Context, args []string) error {
			zone := kctport.ZoneOut{Zone: kctport.Zone(args[0]), Reason: *reason}
			return t.change(ctx, kctport.ChangeRequest{Kind: kctport.TakeZoneOut, Zone: zone})
		},
	})
}

func (t *cli) zoneIn() *ffcli.Command {
	return t.command(commandSpec{
		name: "in", usage: "zone in ZONE", help: "return a zone to service",
		long:      "The zone's share of the work rises over the warm-up time.\n\n" + codeHelp,
		arguments: 1, set: t.changeFlags("in"),
		run: func(ctx context.Context, args []string) error {
			return t.change(ctx, kctport.ChangeRequest{Kind: kctport.ReturnZone, Zone: kctport.ZoneOut{Zone: kctport.Zone(args[0])}})
		},
	})
}

func (t *cli) zoneList() *ffcli.Command {
	return t.show(table{
		name: "list", usage: "zone list", help: "print the zones out of service with their reasons",
		header: []string{"ZONE", "REASON"},
		rows: func(c kctport.Config) [][]string {
			return rowsOf(c.ZonesOut, func(z kctport.ZoneOut) []string { return []string{string(z.Zone), z.Reason} })
		},
		json: func(c kctport.Config) ([]byte, error) { return kctcodec.EncodeZones(c.ZonesOut) },
	})
}

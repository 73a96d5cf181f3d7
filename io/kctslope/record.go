package kctslope

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctwire"
	kctadapter "kingcupturn/platform"
)

// measureRecords measures the size of the platform's records and the cost of reading them.
func (m *measurement) measureRecords(ctx context.Context) ([]Series, error) {
	t := table{part: "record"}
	for _, n := range []int{9, 500, 1500, targetMembers} {
		if err := m.measureInstanceList(ctx, &t, n); err != nil {
			return nil, err
		}
	}
	for _, n := range []int{0, 100, 1000, 4000} {
		if err := addDocument(&t, "exceptions", n, configDocument(0, n)); err != nil {
			return nil, err
		}
	}
	for _, n := range []int{0, 250, 500, 1000} {
		if err := addDocument(&t, "changes in the history", n, configDocument(n, 0)); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func addDocument(t *table, x string, n int, config kctport.Config) error {
	data, err := kctcodec.EncodeConfig(config)
	if err != nil {
		return err
	}
	t.add(x, float64(n), "configuration document (KB)", float64(len(data))/1000)
	return nil
}

// measureInstanceList measures the instance list of a fleet as read by the platform client.
func (m *measurement) measureInstanceList(ctx context.Context, t *table, members int) error {
	p := kctfake.NewPlatform()
	address, err := p.Start(ctx)
	if err != nil {
		return err
	}
	defer p.Stop()
	client := kctadapter.NewRecords(address)
	defer client.Close()
	if err := fillList(ctx, p, client, members); err != nil {
		return err
	}
	const rounds = 5
	before, succeeded := p.CallCounts(), 0
	used, err := measureUsage(m.timer, func() error {
		for range rounds {
			succeeded += m.readList(ctx, client)
		}
		return nil
	})
	if err != nil {
		return err
	}
	x, after := float64(members), p.CallCounts()
	t.add("members", x, "instance list (KB)", float64(after.Bytes-before.Bytes)/1000/rounds)
	t.add("members", x, "calls for the instance list", float64(after.Reads-before.Reads)/rounds)
	t.add("members", x, "reading of the instance list, with the stand-in (ms)", 1000*used.cpuTime.Seconds()/rounds)
	t.add("members", x, "readings of the instance list that succeed (of 1)", float64(succeeded)/rounds)
	return nil
}

// fillList announces members and registers their endpoints.
func fillList(ctx context.Context, p *kctfake.Platform, client kctadapter.Records, members int) error {
	lease, err := client.Grant(ctx, time.Hour)
	if err != nil {
		return err
	}
	for n := range members {
		if err := client.Announce(ctx, targetMember(n), lease); err != nil {
			return err
		}
	}
	for n := range endpointsFor(members) {
		e := targetEndpoint(n)
		p.Register(e.ID, kctwire.Registration{Service: e.Service, Zone: e.Zone, Version: e.Version, Address: e.Address})
	}
	return nil
}

// readList returns 1 if the client can read the instance list and otherwise logs the error and returns 0.
func (m *measurement) readList(ctx context.Context, client kctadapter.Records) int {
	if _, _, err := client.Instances(ctx); err != nil {
		m.log("read instance list: %v", err)
		return 0
	}
	return 1
}

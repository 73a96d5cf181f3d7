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

// records measures the size of the platform's values and what reading them costs.
func (m *measurement) records(ctx context.Context) ([]Series, error) {
	t := table{part: "record"}
	for _, n := range []int{9, 500, 1500, targetMembers} {
		if err := m.instanceList(ctx, &t, n); err != nil {
			return nil, err
		}
	}
	for _, n := range []int{0, 100, 1000, 4000} {
		if err := addDocument(&t, "exceptions", n, document(0, n)); err != nil {
			return nil, err
		}
	}
	for _, n := range []int{0, 250, 500, 1000} {
		if err := addDocument(&t, "changes in the history", n, document(n, 0)); err != nil {
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

// instanceList measures the list of a fleet as the client reads it.
func (m *measurement) instanceList(ctx context.Context, t *table, members int) error {
	p := kctfake.NewPlatform()
	at, err := p.Start(ctx)
	if err != nil {
		return err
	}
	defer p.Stop()
	client := kctadapter.NewRecords(at)
	defer client.Close()
	if err := fillList(ctx, p, client, members); err != nil {
		return err
	}
	const rounds = 5
	before, good := p.CallCounts(), 0
	used, err := during(m.timer, func() error {
		for range rounds {
			good += m.read(ctx, client)
		}
		return nil
	})
	if err != nil {
		return err
	}
	x, after := float64(members), p.CallCounts()
	t.add("members", x, "instance list (KB)", float64(after.Bytes-before.Bytes)/1000/rounds)
	t.add("members", x, "calls for the instance list", float64(after.Reads-before.Reads)/rounds)
	t.add("members", x, "reading of the instance list, with the stand-in (ms)", 1000*used.processor.Seconds()/rounds)
	t.add("members", x, "readings of the instance list that succeed (of 1)", float64(good)/rounds)
	return nil
}

// fillList registers endpoints and announces entries.
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

// read returns 1 when the client can read the list.
func (m *measurement) read(ctx context.Context, client kctadapter.Records) int {
	if _, _, err := client.Instances(ctx); err != nil {
		m.log("reading of the instance list: %v", err)
		return 0
	}
	return 1
}

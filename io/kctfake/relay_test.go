package kctfake_test

import (
	"context"
	"errors"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	kctadapter "kingcupturn/platform"
)

// TestRelay guards against a relay that loses bytes, lets them through when blocked, or does not recover.
func TestRelay(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	p := kctfake.NewPlatform()
	target, err := p.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	r := kctfake.NewRelay(target)
	at, err := r.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	c := kctadapter.NewRecords(at, kctadapter.WithTimeout(patience))
	hasty := kctadapter.NewRecords(at, kctadapter.WithTimeout(100*time.Millisecond))
	t.Cleanup(func() {
		c.Close()
		hasty.Close()
		r.Stop()
		p.Stop()
		cancel()
	})
	large := make([]byte, 1<<20)
	version, err := c.Write(ctx, "a", large, 0, "")
	if err != nil {
		t.Fatal(err)
	}
	r.SetFaults(kctfake.RelayFaults{BlockFromTarget: true})
	if _, err := hasty.Write(ctx, "a", []byte("x"), version, ""); !errors.Is(err, kctport.ErrUnknown) {
		t.Fatalf("blocked replies: %v", err)
	}
	r.SetFaults(kctfake.RelayFaults{BlockToTarget: true})
	if _, err := hasty.Write(ctx, "b", nil, 0, ""); !errors.Is(err, kctport.ErrUnknown) {
		t.Fatalf("blocked requests: %v", err)
	}
	r.SetFaults(kctfake.RelayFaults{Delay: 10 * time.Millisecond})
	r.ResetConnections()
	start := time.Now()
	record, err := c.Read(ctx, "a")
	if err != nil || string(record.Value) != "x" || time.Since(start) < 20*time.Millisecond {
		t.Fatalf("value of %d bytes after %s, error %v", len(record.Value), time.Since(start), err)
	}
	r.SetFaults(kctfake.RelayFaults{Refuse: true})
	r.ResetConnections()
	if _, err := hasty.Read(ctx, "a"); !errors.Is(err, kctport.ErrUnavailable) {
		t.Fatalf("refused: %v", err)
	}
}

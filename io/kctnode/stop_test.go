package kctnode

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctfleet"
	"kingcupturn/io/kctfeed"
	"kingcupturn/io/kctlog"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kctsetting"
	"kingcupturn/io/kcttimer"
	kctadapter "kingcupturn/platform"
)

// TestStopWithoutControl guards against an entry that never ends, or no longer answers callers while it drains, when its control goroutine hangs.
func TestStopWithoutControl(t *testing.T) {
	ports, err := kctloopback.FreePorts(7)
	if err != nil {
		t.Fatal(err)
	}
	const grace = 2 * time.Second
	n := New(kctsetting.Serving{
		ID: "e", Zone: "a", Caller: ports[0], Ready: ports[1], Directory: ports[2], Metrics: ports[3], Peer: ports[4], Relay: ports[5], Store: ports[6],
		Memory: 284, Cores: 1, Grace: grace, Apply: 3 * time.Second, Heartbeat: time.Second, Drain: 3 * time.Second,
	})
	hung, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	hang := sync.OnceFunc(func() { close(hung) })
	load := func() float64 {
		hang()
		<-release
		return 0
	}
	timer := kcttimer.New()
	n.control = kctfleet.New(n.self(), kctadapter.NewClient(ports[6]), kctfeed.NewClient(timer, kctadapter.Decode), timer, kctlog.DecisionLogger{}, kctfleet.WithLoad(load))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	<-hung
	stop()
	began := time.Now()
	time.Sleep(grace / 4)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Get("http://" + ports[0].String() + "/"); err != nil {
		t.Errorf("a request during the drain: %v", err)
	} else {
		response.Body.Close()
	}
	select {
	case err := <-ended:
		if took := time.Since(began); !errors.Is(err, kctport.ErrTimeout) || !strings.Contains(err.Error(), "control") || took < grace-2*stopReserve {
			t.Errorf("ended after %v with error %v, want ErrTimeout for control shortly before %v", took, err, grace)
		}
	case <-time.After(grace):
		t.Errorf("the entry still runs %v after the request to stop", grace)
	}
}

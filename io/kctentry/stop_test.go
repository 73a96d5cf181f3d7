package kctentry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctcontrol"
	"kingcupturn/io/kctcodec"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctsetting"
	kctadapter "kingcupturn/platform"
)

// TestStopWithoutControl guards against an entry that never ends when its control goroutine hangs.
func TestStopWithoutControl(t *testing.T) {
	e := New(kctsetting.Settings{ID: "e", Zone: "a", Peer: freePort(t), Caller: freePort(t), Platform: freePort(t), Lifetime: time.Second, MaxConnections: 1, MaxBody: 1 << 10, Memory: kctguard.DefaultMemory, Files: kctguard.DefaultFiles})
	e.partsTimeout = 200 * time.Millisecond
	hung, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	hang := sync.OnceFunc(func() { close(hung) })
	records := kctadapter.NewRecords(e.settings.Platform)
	e.control = kctcontrol.New(e.self, kctcontrol.Ports{Timer: e.timer, Store: records, Directory: records, Backend: e.backend, Peers: e.mesh},
		kctcontrol.Codec{Encode: kctcodec.EncodeConfig, Decode: kctcodec.DecodeConfig}, 1, kctcontrol.WithLoopObserver(func(time.Duration) {
			hang()
			<-release
		}))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	<-hung
	stop()
	const longest = leaveTimeout + leavePropagation + time.Second + handoverWait + 2*time.Second
	select {
	case err := <-ended:
		if !errors.Is(err, kctport.ErrTimeout) || !strings.Contains(err.Error(), "control") {
			t.Errorf("error %v, want ErrTimeout for control", err)
		}
	case <-time.After(longest):
		t.Errorf("the entry still runs %v after the request to stop", longest)
	}
}

package kctfeed_test

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctfeed"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kcttimer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// source is a FeedSource that sends the same updates to every subscriber.
type source struct {
	contact    kctport.StoreContact
	updates    []kctport.FeedUpdate
	heartbeats chan kctport.FeedHeartbeat
	ended      chan struct{}
	last       chan kctport.FeedUpdate
}

type subscription struct {
	*source
	out chan kctport.FeedUpdate
}

// send sends an update to the last subscriber.
func (s *source) send(f kctport.FeedUpdate) {
	f.Made = time.Now()
	s.last <- f
}

func (s *source) Subscribe(context.Context, kctport.EntryRecord) kctport.FeedSubscription {
	u := &subscription{s, make(chan kctport.FeedUpdate, 16)}
	s.last = u.out
	for _, f := range s.updates {
		f.Made = time.Now()
		u.out <- f
	}
	return u
}

func (s *source) Contact(context.Context) kctport.StoreContact { return s.contact }

func (u *subscription) Updates() <-chan kctport.FeedUpdate { return u.out }

func (u *subscription) Heartbeat(_ context.Context, h kctport.FeedHeartbeat) {
	select {
	case u.heartbeats <- h:
	default:
	}
}

// subscriber says the same in each heartbeat, and its suspicions in the first one.
type subscriber struct {
	entry      kctport.EntryRecord
	suspicions []kctport.Suspicion
}

func newSubscriber(entry kctport.EntryRecord, suspicions ...kctport.Suspicion) *subscriber {
	return &subscriber{entry, suspicions}
}

func (s *subscriber) Heartbeat() kctport.FeedHeartbeat {
	h := kctport.FeedHeartbeat{Entry: s.entry, Suspicions: s.suspicions}
	s.suspicions = nil
	return h
}

func (s *subscriber) Pending() <-chan struct{} { return nil }

func (u *subscription) End(context.Context) {
	close(u.out)
	u.ended <- struct{}{}
}

func decode(key string, value []byte, revision kctport.StoreRevision, deleted bool) kctport.RegistryChange {
	return kctport.RegistryChange{Kind: kctport.RecordEndpoint, Key: key, Value: value, Revision: revision, Deleted: deleted}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	ports, err := kctloopback.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return ports[0]
}

// TestFeed guards against fields lost in encoding, and against large values that arrive changed by compression.
func TestFeed(t *testing.T) {
	large := bytes.Repeat([]byte(`{"name":"r-1","host":"some.example","path-prefix":"/a/"},`), 7000)
	address := freeAddress(t)
	member := kctport.EntryRecord{ID: "m", Zone: "z", Caller: address, Peer: address, Leaving: true, Load: 0.3, Cores: 0.192}
	suspicion := kctport.Suspicion{
		Fingerprint: 1<<63 + 5, Round: 4, Crashes: 2, Endpoint: "e", Started: time.UnixMilli(1_700_000_000_123).UTC(), InFlight: 7 * time.Millisecond, Lifetime: time.Hour,
	}
	cleared := kctport.Suspicion{Fingerprint: 9, Round: 1, Cleared: true}
	s := &source{heartbeats: make(chan kctport.FeedHeartbeat, 1), ended: make(chan struct{}, 1), updates: []kctport.FeedUpdate{
		{Full: true, Changes: []kctport.RegistryChange{{Key: "large", Value: large, Revision: kctport.StoreRevision{Era: 1, Number: 7}}}, Members: []kctport.FeedMember{{Origin: "r", Entry: member}}, Suspicions: []kctport.Suspicion{suspicion, cleared}},
		{Changes: []kctport.RegistryChange{{Key: "small", Value: []byte("v"), Revision: kctport.StoreRevision{Era: 1, Number: 8}}, {Key: "large", Revision: kctport.StoreRevision{Era: 1, Number: 9}, Deleted: true}}, Store: kctport.StoreContact{Watcher: "w", Hops: 1, Age: time.Minute, Silence: time.Second, Steady: time.Hour, Revision: kctport.StoreRevision{Era: 1, Number: 9}}},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	served, err := kctfeed.NewServer(address, s, kcttimer.New(), kctguard.New(kcttimer.New(), 256, 4096)).Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var got []kctport.FeedUpdate
	follow, stop := context.WithCancel(ctx)
	c := kctfeed.NewClient(kcttimer.New(), decode)
	if err := c.Follow(follow, kctport.EntryRecord{ID: "r", Peer: address}, newSubscriber(member, suspicion), func(f kctport.FeedUpdate) {
		if got = append(got, f); len(got) == 2 {
			stop()
		}
	}); err == nil {
		t.Error("Follow returned no error although its context ended")
	}
	stop()
	if len(got) != 2 {
		t.Fatalf("%d updates, want 2", len(got))
	}
	if f := got[0]; !f.Full || !bytes.Equal(f.Changes[0].Value, large) || f.Changes[0].Revision != (kctport.StoreRevision{Era: 1, Number: 7}) || f.Members[0] != s.updates[0].Members[0] {
		t.Errorf("first update: full %t, value of %d bytes, members %+v", f.Full, len(f.Changes[0].Value), f.Members)
	}
	if want := []kctport.Suspicion{suspicion, cleared}; !slices.Equal(got[0].Suspicions, want) {
		t.Errorf("suspicions %+v, want %+v", got[0].Suspicions, want)
	}
	if h := <-s.heartbeats; h.Entry != member || !slices.Equal(h.Suspicions, []kctport.Suspicion{suspicion}) {
		t.Errorf("first heartbeat %+v", h)
	}
	if f := got[1]; f.Store.Watcher != "w" || f.Store.Hops != 1 || f.Store.Age < time.Minute || f.Store.Age > time.Minute+10*time.Second || f.Store.Silence < time.Second || f.Store.Silence > 11*time.Second ||
		f.Store.Steady != time.Hour || f.Store.Revision != (kctport.StoreRevision{Era: 1, Number: 9}) || string(f.Changes[0].Value) != "v" || !f.Changes[1].Deleted {
		t.Errorf("second update %+v", f)
	}
	<-s.ended
	cancel()
	<-served
}

// TestSilentFeed guards against a feed that stays open although the subscriber receives nothing on it, and against missing heartbeats.
func TestSilentFeed(t *testing.T) {
	address := freeAddress(t)
	s := &source{heartbeats: make(chan kctport.FeedHeartbeat, 1), ended: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	served, err := kctfeed.NewServer(address, s, kcttimer.New(), kctguard.New(kcttimer.New(), 256, 4096)).Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	entry := kctport.EntryRecord{ID: "m", Caller: address, Peer: address}
	err = kctfeed.NewClient(kcttimer.New(), decode).Follow(ctx, kctport.EntryRecord{ID: "r", Peer: address},
		newSubscriber(entry), func(kctport.FeedUpdate) {})
	if err == nil || time.Since(began) > 5*time.Second {
		t.Errorf("feed ended after %v with error %v, want an error within 5 s", time.Since(began), err)
	}
	if b := <-s.heartbeats; b.Entry.ID != "m" {
		t.Errorf("heartbeat %+v", b)
	}
	<-s.ended
	cancel()
	<-served
}

// TestDelayedUpdate guards against a transmission delay that isn't added to an update's age: an entry then uses old rules as if they were
// current.
func TestDelayedUpdate(t *testing.T) {
	const delay = 300 * time.Millisecond
	address := freeAddress(t)
	s := &source{heartbeats: make(chan kctport.FeedHeartbeat, 1), ended: make(chan struct{}, 1), updates: []kctport.FeedUpdate{{Full: true}, {Store: kctport.StoreContact{Watcher: "w", Age: time.Millisecond}}}}
	ctx, cancel := context.WithCancel(context.Background())
	served, err := kctfeed.NewServer(address, s, kcttimer.New(), kctguard.New(kcttimer.New(), 256, 4096)).Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	// The proxy delays data like a saturated link.
	proxy := kctfake.NewRelay(address)
	proxied, err := proxy.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	proxy.SetFaults(kctfake.RelayFaults{Delay: delay})
	follow, stop := context.WithCancel(ctx)
	var ages []time.Duration
	entry := kctport.EntryRecord{ID: "m", Caller: address, Peer: address}
	err = kctfeed.NewClient(kcttimer.New(), decode).Follow(follow, kctport.EntryRecord{ID: "r", Peer: proxied},
		newSubscriber(entry), func(f kctport.FeedUpdate) {
			if ages = append(ages, f.Store.Age); len(ages) == 2 {
				stop()
			}
		})
	stop()
	if err == nil || len(ages) != 2 || ages[1] < delay {
		t.Errorf("store ages %v, error %v; want two updates, the second at least %v old", ages, err, delay)
	}
	<-s.ended
	proxy.Stop()
	cancel()
	<-served
}

// TestQueuedUpdate guards against an update that is taken for younger than it is, because the time during which it waited for the acknowledgement of the
// one before is not counted, and against one that is taken for older by the time between two updates.
func TestQueuedUpdate(t *testing.T) {
	const wait = 300 * time.Millisecond
	address := freeAddress(t)
	s := &source{heartbeats: make(chan kctport.FeedHeartbeat, 1), ended: make(chan struct{}, 1), updates: []kctport.FeedUpdate{{Full: true}, {}}}
	ctx, cancel := context.WithCancel(context.Background())
	served, err := kctfeed.NewServer(address, s, kcttimer.New(), kctguard.New(kcttimer.New(), 256, 4096)).Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	follow, stop := context.WithCancel(ctx)
	var ages []time.Duration
	entry := kctport.EntryRecord{ID: "m", Caller: address, Peer: address}
	err = kctfeed.NewClient(kcttimer.New(), decode).Follow(follow, kctport.EntryRecord{ID: "r", Peer: address},
		newSubscriber(entry), func(f kctport.FeedUpdate) {
			switch ages = append(ages, f.Store.Age); len(ages) {
			case 1:
				// The second update waits at the sender.
				time.Sleep(wait)
			case 2:
				go func() {
					time.Sleep(wait)
					s.send(kctport.FeedUpdate{})
				}()
			case 3:
				stop()
			}
		})
	stop()
	if err == nil || len(ages) != 3 || ages[1] < wait || ages[2] >= wait {
		t.Errorf("store ages %v, error %v; want three updates, the second at least and the third less than %v old", ages, err, wait)
	}
	<-s.ended
	cancel()
	<-served
}

// TestContact guards against an entry that is subscribed, or gets all records, although it only asked for the contact with the store.
func TestContact(t *testing.T) {
	address := freeAddress(t)
	s := &source{
		contact:    kctport.StoreContact{Watcher: "w", Hops: 1, Age: time.Minute, Silence: time.Second, Steady: time.Hour, Revision: kctport.StoreRevision{Era: 1, Number: 9}},
		heartbeats: make(chan kctport.FeedHeartbeat, 1), ended: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	served, err := kctfeed.NewServer(address, s, kcttimer.New(), kctguard.New(kcttimer.New(), 256, 4096)).Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	c := kctfeed.NewClient(kcttimer.New(), decode)
	entry := kctport.EntryRecord{ID: "m", Caller: address, Peer: address}
	got, err := c.Contact(ctx, kctport.EntryRecord{ID: "r", Peer: address}, entry)
	got.Age, got.Silence = got.Age.Round(10*time.Second), got.Silence.Round(10*time.Second)+s.contact.Silence
	if err != nil || got != s.contact || s.last != nil {
		t.Errorf("contact %+v, %v, subscribed %t; want %+v without a subscription", got, err, s.last != nil, s.contact)
	}
	if _, err := c.Contact(ctx, kctport.EntryRecord{ID: "r", Peer: freeAddress(t)}, entry); !errors.Is(err, kctport.ErrUnavailable) {
		t.Errorf("contact of an entry that does not run: %v, want %v", err, kctport.ErrUnavailable)
	}
	cancel()
	<-served
}

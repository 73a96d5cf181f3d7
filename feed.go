package kctport

import (
	"context"
	"net/netip"
	"time"
)

// EntryRecord is what an entry says of itself to other entries.
type EntryRecord struct {
	ID     InstanceID
	Zone   Zone
	Caller netip.AddrPort
	Peer   netip.AddrPort
	// Relay takes attempts of entries of other zones; it is invalid where it isn't known.
	Relay netip.AddrPort
	// Leaving is set while the entry shuts down.
	Leaving bool
	// Load is the share of its processor time that the entry uses, 0 to 1.
	Load float64
	// Cores is the processor time that the entry may use, in cores.
	Cores float64
}

// FeedMember is an entry that is subscribed at the origin, or the news that it no longer is.
type FeedMember struct {
	Origin       InstanceID
	Entry        EntryRecord
	Unsubscribed bool
}

// FeedUpdate is what an entry that reads the store passes on to its subscribers.
type FeedUpdate struct {
	// Full is set when the changes and members are complete and replace earlier ones.
	Full    bool
	Changes []RegistryChange
	Members []FeedMember
	// StoreUnreachable is set while the reader can't reach the store; Age is the time since it last did, an upper bound at the subscriber.
	StoreUnreachable bool
	StoreAge         time.Duration
}

// Feed is the port to other entries that read the store.
type Feed interface {
	// Follow subscribes at a reader and hands over its updates until the feed breaks or the context ends; self is asked at each beat.
	Follow(ctx context.Context, reader EntryRecord, self func() EntryRecord, take func(FeedUpdate)) error
}

// FeedSource serves subscribers; the feed adapter calls it.
type FeedSource interface {
	// Subscribe registers an entry; the first update is full.
	Subscribe(ctx context.Context, entry EntryRecord) FeedSubscription
}

// FeedSubscription is one subscriber's end of a feed.
type FeedSubscription interface {
	// Updates gives what has changed since the last one that was taken; it is closed when the subscription ends.
	Updates() <-chan FeedUpdate
	// Heartbeat takes the subscriber's current record.
	Heartbeat(ctx context.Context, entry EntryRecord)
	End(ctx context.Context)
}

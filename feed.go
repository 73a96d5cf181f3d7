package kctport

import (
	"context"
	"net/netip"
	"time"
)

// EntryRecord is an entry's description of itself for other entries.
type EntryRecord struct {
	ID   InstanceID
	Zone Zone
	// Caller is the address for callers, Peer the one for other entries.
	Caller netip.AddrPort
	Peer   netip.AddrPort
	// Relay is the address for attempts from entries of other zones; it is invalid when not reported.
	Relay netip.AddrPort
	// Leaving is set while the entry shuts down.
	Leaving bool
	// Load is the fraction of the entry's processor time that is in use, 0 to 1.
	Load float64
	// Cores is the processor time available to the entry, in cores.
	Cores float64
}

// FeedMember is an entry that subscribed to or unsubscribed from the reader Origin.
type FeedMember struct {
	Origin       InstanceID
	Entry        EntryRecord
	Unsubscribed bool
}

// FeedUpdate is an update from a reader of the store to its subscribers.
type FeedUpdate struct {
	// Full is set when Changes and Members are complete and replace earlier ones.
	Full    bool
	Changes []RegistryChange
	Members []FeedMember
	// StoreUnreachable is set while the reader can't reach the store.
	StoreUnreachable bool
	// StoreAge is the time since the reader last received the store's changes, and StoreSilence that since the store last answered it at all; at the
	// subscriber both are upper bounds.
	StoreAge     time.Duration
	StoreSilence time.Duration
	// StoreSteady is how long the reader has been in contact with the store without interruption, which at the subscriber is a lower bound.
	StoreSteady time.Duration
	// Revision is the store's revision up to which the reader has all changes; 0 when not reported.
	Revision StoreRevision
	// Made is when the sender made the update, by its own clock; zero at the subscriber, where the ages are those on arrival.
	Made time.Time
}

// Feed is the port to other entries that are readers of the store.
type Feed interface {
	// Follow subscribes to a reader and passes its updates to handle until the feed fails or the context ends; self supplies the record for each
	// heartbeat.
	Follow(ctx context.Context, reader EntryRecord, self func() EntryRecord, handle func(FeedUpdate)) error
}

// FeedSource serves the subscribers of this entry; the feed adapter calls it.
type FeedSource interface {
	// Subscribe registers an entry; its first update is full, unless this entry has no state yet.
	Subscribe(ctx context.Context, entry EntryRecord) FeedSubscription
}

// FeedSubscription is the subscription of one entry.
type FeedSubscription interface {
	// Updates delivers the changes since the last update that was received; it is closed when the subscription ends.
	Updates() <-chan FeedUpdate
	// Heartbeat stores the subscriber's current record.
	Heartbeat(ctx context.Context, entry EntryRecord)
	End(ctx context.Context)
}

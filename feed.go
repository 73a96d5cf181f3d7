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

// StoreContact is what a feed says of the store: what an entry that watches the store itself has seen of it, and how long ago.
type StoreContact struct {
	// Watcher is the entry that watches the store; empty while the sender is not in contact with the store. The other fields then describe the
	// sender's last contact.
	Watcher InstanceID
	// Hops is the number of feeds between the watcher and the sender, 0 when the sender is the watcher.
	Hops int
	// Age is the time since the watcher last received the store's changes, and Silence that since the store last answered it at all; at the
	// subscriber both are upper bounds.
	Age     time.Duration
	Silence time.Duration
	// Steady is how long the contact has lasted without interruption, which at the subscriber is a lower bound.
	Steady time.Duration
	// Revision is the store's revision up to which the sender has all changes; zero when not known.
	Revision StoreRevision
}

// FeedHeartbeat is what a subscriber tells the entry that it follows.
type FeedHeartbeat struct {
	Entry EntryRecord
	// Suspicions and Moves are those since the last heartbeat. Counts of moves go to the entry that advances them, the news that an entry has stopped a version
	// to all.
	Suspicions []Suspicion
	Moves      []MoveReport
}

// FeedUpdate is an update from an entry to its subscribers.
type FeedUpdate struct {
	// Full is set when Changes and Members are complete and replace earlier ones.
	Full    bool
	Changes []RegistryChange
	Members []FeedMember
	// Suspicions, and Moves whose versions an entry has stopped, are those since the last update, and all that still count in a full one.
	Suspicions []Suspicion
	Moves      []MoveReport
	// Store is the sender's contact with the store, with the ages at the time Made; at the subscriber the ages are those on arrival.
	Store StoreContact
	// Made is when the sender made the update; zero at the subscriber.
	Made time.Time
}

// Feed is the port to other entries, which pass on what the store holds.
type Feed interface {
	// Follow subscribes to an entry and passes its updates to handle until the feed fails or the context ends.
	Follow(ctx context.Context, entry EntryRecord, subscriber FeedSubscriber, handle func(FeedUpdate)) error
	// Contact asks an entry for its contact with the store, without subscribing.
	Contact(ctx context.Context, entry, self EntryRecord) (StoreContact, error)
}

// FeedSubscriber supplies what a subscriber tells the entry that it follows.
type FeedSubscriber interface {
	// Heartbeat returns the record, and the suspicions and reports that no heartbeat has had.
	Heartbeat() FeedHeartbeat
	// Pending has an element when there are suspicions or reports that must not wait for the next heartbeat.
	Pending() <-chan struct{}
}

// SuspicionMemory holds the evidence on requests that crash endpoints; it is safe for concurrent use.
type SuspicionMemory interface {
	// Merge applies the suspicions of other entries and returns those that were not known.
	Merge(suspicions []Suspicion) []Suspicion
	// Suspicions returns all evidence.
	Suspicions() []Suspicion
}

// FeedSource serves the subscribers of this entry; the feed adapter calls it.
type FeedSource interface {
	// Subscribe registers an entry; its first update is full, unless this entry has no state yet.
	Subscribe(ctx context.Context, entry EntryRecord) FeedSubscription
	// Contact returns this entry's contact with the store.
	Contact(ctx context.Context) StoreContact
}

// FeedSubscription is the subscription of one entry.
type FeedSubscription interface {
	// Updates delivers the changes since the last update that was received; it is closed when the subscription ends.
	Updates() <-chan FeedUpdate
	// Heartbeat stores the subscriber's current record and takes its suspicions and reports.
	Heartbeat(ctx context.Context, heartbeat FeedHeartbeat)
	End(ctx context.Context)
}

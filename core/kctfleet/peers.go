package kctfleet

import (
	"context"
	"time"

	kctport "kingcupturn"
)

// followPeers follows the other readers on record until the context ends. Their members are needed for the directory, and their observations and
// changes of the store stand in for this entry's own while its calls get no answer.
func (c *Controller) followPeers(ctx context.Context) {
	links := map[kctport.InstanceID]*link{}
	endedAt := map[kctport.InstanceID]time.Time{}
	ticks := c.timer.Subscribe(ctx, peerCheckInterval)
	for {
		for _, r := range *c.readers.Load() {
			if l := links[r.ID]; l != nil && l.hasEnded() {
				endedAt[r.ID] = c.timer.Now()
				delete(links, r.ID)
			}
			if r.ID != c.self.ID && links[r.ID] == nil && c.timer.Now().Sub(endedAt[r.ID]) >= retryPause {
				links[r.ID] = c.openPeer(ctx, r)
			}
		}
		select {
		case <-ctx.Done():
			for _, l := range links {
				<-l.done
			}
			return
		case <-ticks:
		}
	}
}

// peerCheckInterval is how often a watcher checks for other readers.
const peerCheckInterval = 250 * time.Millisecond

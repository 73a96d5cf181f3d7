package kctentry

import (
	"context"
	"time"

	kctport "kingcupturn"
)

// maxBroadcastWait limits how long the error of a crashed attempt is delayed while its suspicions are sent to peers.
const maxBroadcastWait = 200 * time.Millisecond

// suspectPort implements kctsend.Suspects and sends suspicions that this entry's attempts raise or clear to all peers at once.
type suspectPort struct {
	entry *Entry
}

// Admit records an attempt, or returns an error for a quarantined body.
func (p suspectPort) Admit(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint) error {
	return p.entry.suspects.Admit(endpoint, fingerprint)
}

// Finish records the outcome of an attempt and sends the suspicions that it raised or cleared.
func (p suspectPort) Finish(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, err error) {
	suspicions := p.entry.suspects.Finish(endpoint, fingerprint, err)
	if len(suspicions) == 0 {
		return
	}
	sent := p.entry.control.Broadcast(func(ctx context.Context, to kctport.Member) {
		// A peer that misses the push raises the suspicion itself at its own next crash.
		_ = p.entry.mesh.Suspect(ctx, to, suspicions)
	})
	if err == nil {
		return
	}
	// The error is delayed until the peers have the suspicion, since the caller may send the body again at once.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	select {
	case <-sent:
	case <-p.entry.timer.After(ctx, maxBroadcastWait):
	}
}

// sendSuspicions sends the current suspicions to a new member.
func (e *Entry) sendSuspicions(ctx context.Context, to kctport.Member) {
	if suspicions := e.suspects.Suspicions(); len(suspicions) > 0 {
		// A member that misses them raises each at one more crash.
		_ = e.mesh.Suspect(ctx, to, suspicions)
	}
}

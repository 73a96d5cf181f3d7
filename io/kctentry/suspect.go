package kctentry

import (
	"context"
	"time"

	kctport "kingcupturn"
)

// pushWait bounds how long a crash holds back the error of its attempts while peers are told.
const pushWait = 200 * time.Millisecond

// suspectPort tells peers at once about the suspicions that attempts of this entry raise.
type suspectPort struct {
	entry *Entry
}

// Admit registers an attempt, or refuses a quarantined body.
func (p suspectPort) Admit(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint) error {
	return p.entry.suspects.Admit(endpoint, fingerprint)
}

// Finish ends an attempt and pushes the suspicions that its end raised or cleared.
func (p suspectPort) Finish(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, err error) {
	suspicions := p.entry.suspects.Finish(endpoint, fingerprint, err)
	if len(suspicions) == 0 {
		return
	}
	told := p.entry.control.Broadcast(func(ctx context.Context, to kctport.Member) {
		// A peer that misses the push learns of the suspicion by its own next crash.
		_ = p.entry.mesh.Suspect(ctx, to, suspicions)
	})
	if err == nil {
		return
	}
	// The attempt's error is held back until the peers know, since its caller may send the body again at once.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	select {
	case <-told:
	case <-p.entry.timer.After(ctx, pushWait):
	}
}

// tellSuspicions sends a new member the suspicions that it missed.
func (e *Entry) tellSuspicions(ctx context.Context, to kctport.Member) {
	if suspicions := e.suspects.Suspicions(); len(suspicions) > 0 {
		// A member that misses them learns of each by one more crash.
		_ = e.mesh.Suspect(ctx, to, suspicions)
	}
}

package kctentry

import (
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
	kctadapter "kingcupturn/platform"
)

// applyBound is the users' bound on the time until a change is in force everywhere.
const applyBound = 8 * time.Second

// TestConfigAfterRestore guards against an accepted change that is lost, or taken back by the next one, when the store comes back from a copy that is older
// than it.
func TestConfigAfterRestore(t *testing.T) {
	c := newCluster(t, 3, service("s", 3, 1))
	records := kctadapter.NewRecords(c.address)
	defer records.Close()
	change := func(id, field, value string) {
		t.Helper()
		result := c.entries[0].entry.Change(t.Context(), kctport.ChangeRequest{ID: id, Author: "operator", Kind: kctport.SetDefault, Field: field, Value: value})
		if result.Outcome != kctport.Accepted {
			t.Fatalf("change of %s: %+v", field, result)
		}
	}
	stored := func() kctport.Config {
		t.Helper()
		r, err := records.Read(t.Context(), "config")
		if err != nil {
			return kctport.Config{}
		}
		config, err := kctcodec.DecodeConfig(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		return config
	}
	inForce := func(queue int, deadline time.Duration) func() bool {
		return func() bool {
			for _, r := range c.entries {
				if d := r.entry.View().Defaults; d.Queue != queue || d.Deadline != deadline {
					return false
				}
			}
			d := stored().Defaults
			return d.Queue == queue && d.Deadline == deadline
		}
	}
	deadline := c.entries[0].entry.View().Defaults.Deadline
	change("first", "canary", "false")
	older := c.platform.Copy()
	change("lost", "queue", "77")
	eventually(t, applyBound, "change in force", inForce(77, deadline))
	c.platform.Restore(older)
	eventually(t, applyBound, "change stored again", inForce(77, deadline))
	// The next change meets a store that has come back and lacks the one before.
	older = c.platform.Copy()
	change("lost too", "queue", "78")
	eventually(t, applyBound, "change in force", inForce(78, deadline))
	c.platform.Restore(older)
	change("next", "deadline", "900ms")
	eventually(t, applyBound, "both changes in force", inForce(78, 900*time.Millisecond))
}

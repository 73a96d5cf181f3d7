package main

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"kingcupturn/io/kctcrowd"
)

const (
	// crowdMemory in MiB and crowdFiles are the default limits of an entry.
	crowdMemory = 256
	crowdFiles  = 4096
	// crowdSize is the number of connections that a crowd keeps open.
	crowdSize = 300
	// crowdBody is the largest body in bytes in the settings, large enough for a small crowd to exceed the memory.
	crowdBody = 2 << 20
	// crowdHead is the size in bytes of a head below the default limit of net/http.
	crowdHead = 512 << 10
	// crowdMessage is the size in bytes of a message between entries.
	crowdMessage = 1 << 20
	// crowdTime is how long a crowd stands before an ordinary request is sent beside it.
	crowdTime = 5 * time.Second
	// crowdPatience bounds the attempts at one ordinary request.
	crowdPatience = 20 * time.Second
)

// crowdQuery returns the heads of queries.
func crowdQuery(method string, _ int) string {
	return method + " /v1/query HTTP/1.1\r\nHost: h\r\n"
}

// ordinary reports whether an ordinary query is answered, by its first attempt or a later one.
func ordinary(t *testing.T, e *entry, service string) bool {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < crowdPatience; time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		var a answer
		status, err := request(ctx, http.MethodPost, e.caller, "/v1/query",
			map[string]any{"services": []string{service}, "route": "match", "text": "eel", "deadline": "2s"}, &a)
		cancel()
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// testCrowd lets a crowd stand before an address of an entry of the own interface. It guards against an entry that ends, that exceeds its memory or its
// descriptors, or that answers no ordinary request while the crowd stands or after it.
func testCrowd(t *testing.T, address func(*entry) netip.AddrPort, form kctcrowd.Form, opts ...kctcrowd.Option) {
	t.Helper()
	platform, names := startStandIns(t, 1)
	e := &entry{id: "entry-0", caller: freePort(t), peer: freePort(t)}
	e.process = start(t, "kingcupturn", "entry", "--id", e.id, "--zone", "a", "--peer", e.peer.String(), "--caller", e.caller.String(),
		"--platform", platform.String(), "--lifetime", "2s", "--body", strconv.Itoa(crowdBody))
	waitComplete(t, []*entry{e}, names)
	watching, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	usage := kctcrowd.WatchUsage(watching, e.cmd.Process.Pid, address(e))
	crowd := kctcrowd.New(address(e), crowdSize, form, opts...)
	standing, disperse := context.WithCancel(context.Background())
	done := crowd.Run(standing)
	time.Sleep(crowdTime)
	if !ordinary(t, e, names[0]) {
		t.Error("no ordinary request is answered beside the crowd")
	}
	disperse()
	<-done
	if !ordinary(t, e, names[0]) {
		t.Error("no ordinary request is answered after the crowd")
	}
	unwatch()
	most := <-usage
	t.Logf("at most %d MiB, %d MiB not read, and %d descriptors; %d connections of the crowd", most.Memory>>20, most.Unread>>20, most.Files, crowd.Opened())
	if most.Memory+most.Unread > crowdMemory<<20 {
		t.Errorf("the entry took %d MiB and did not read %d, it may take %d", most.Memory>>20, most.Unread>>20, crowdMemory)
	}
	if most.Files > crowdFiles {
		t.Errorf("the entry had %d descriptors open, it may have %d", most.Files, crowdFiles)
	}
	if err := e.cmd.Process.Signal(syscall.Signal(0)); err != nil {
		t.Errorf("the entry has ended: %v", err)
	}
}

func callerOf(e *entry) netip.AddrPort { return e.caller }
func peerOf(e *entry) netip.AddrPort   { return e.peer }

// TestOwnCrowdOfWholeBodies guards against many whole bodies of legal size at once, which took several times their size.
func TestOwnCrowdOfWholeBodies(t *testing.T) {
	testCrowd(t, callerOf, kctcrowd.WholeBodies(crowdQuery, crowdBody))
}

// TestOwnCrowdOfQueries guards against many queries with large texts, which are decoded, and copied for each part.
func TestOwnCrowdOfQueries(t *testing.T) {
	const query = `{"services":["match-0"],"route":"match","deadline":"2s","text":"`
	testCrowd(t, callerOf, kctcrowd.Bodies(crowdQuery, query+strings.Repeat("x", crowdBody-len(query)-len(`"}`))+`"}`))
}

// TestOwnCrowdOfBodiesInPieces guards against many bodies that stop just short of their end and whose connections stay open.
func TestOwnCrowdOfBodiesInPieces(t *testing.T) {
	testCrowd(t, callerOf, kctcrowd.Pieces(crowdQuery, crowdBody))
}

// TestOwnCrowdOfLargeChunks guards against many bodies in large chunks without the last one, whose connections stay open.
func TestOwnCrowdOfLargeChunks(t *testing.T) {
	testCrowd(t, callerOf, kctcrowd.Chunks(crowdQuery, crowdBody, 16<<10))
}

// TestOwnCrowdOfHeadsOfManyLines guards against heads of many short lines, each of which takes much more memory than its bytes, and whose connections stay open.
func TestOwnCrowdOfHeadsOfManyLines(t *testing.T) {
	testCrowd(t, callerOf, kctcrowd.ShortLines(crowdQuery, crowdHead))
}

// TestOwnCrowdOfPartialMessages guards against messages between entries that stop just short of their end.
func TestOwnCrowdOfPartialMessages(t *testing.T) {
	testCrowd(t, peerOf, kctcrowd.PartialMessage(crowdMessage), kctcrowd.WithoutReading())
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kctsignal"
	"kingcupturn/io/kctwire"
)

// bin is the directory of the built commands.
var bin string

func TestMain(m *testing.M) {
	// The commands would inherit that this process ignores hangups.
	kctsignal.Restore()
	folder, err := os.MkdirTemp("", "kingcupturn")
	if err != nil {
		panic(err)
	}
	bin = folder
	for _, name := range []string{"kingcupturn", "kctstandin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(bin, name), "kingcupturn/cmd/"+name).CombinedOutput()
		if err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a command that the test started.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	lines chan string
	log   *bytes.Buffer
}

// start runs a built command; the cleanup kills it and fails the test if it logged a violated invariant or a panic.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(bin, name), args...), lines: make(chan string, 1000), log: &bytes.Buffer{}}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		scan := bufio.NewScanner(out)
		for scan.Scan() {
			p.lines <- scan.Text()
		}
		close(p.lines)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if bytes.Contains(p.log.Bytes(), []byte("invariant violated")) || bytes.Contains(p.log.Bytes(), []byte("panic:")) {
			t.Errorf("%s: %s", name, p.log)
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// entry is an entry process.
type entry struct {
	*process
	id     string
	caller netip.AddrPort
	peer   netip.AddrPort
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	ports, err := kctloopback.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return ports[0]
}

func startEntry(t *testing.T, n int, platform netip.AddrPort) *entry {
	t.Helper()
	e := &entry{id: fmt.Sprintf("entry-%d", n), caller: freePort(t), peer: freePort(t)}
	zone := []string{"a", "b", "c"}[n%3]
	e.process = start(t, "kingcupturn", "entry", "--id", e.id, "--zone", zone, "--peer", e.peer.String(),
		"--caller", e.caller.String(), "--platform", platform.String(), "--lifetime", "2s")
	return e
}

// request sends one request, decodes the reply into out whatever its status, and returns the status.
func request(ctx context.Context, method string, to netip.AddrPort, path string, body, out any) (int, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(text, out)
}

type answer struct {
	Snapshot kctport.Snapshot
	Items    []json.RawMessage
	Coverage struct {
		Answered, Total int
		Whole           bool
	}
	Code, Ran string
}

// waitComplete waits until each entry lists all entries and gives a complete answer to a query over the services.
// It returns the last answer.
func waitComplete(t *testing.T, entries []*entry, services []string) answer {
	t.Helper()
	var a answer
	deadline := time.Now().Add(30 * time.Second)
	for _, e := range entries {
		for {
			a = answer{}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			status, err := request(ctx, http.MethodPost, e.caller, "/v1/query",
				map[string]any{"services": services, "route": "match", "text": "eel", "deadline": "2s"}, &a)
			var list struct{ Addresses []netip.AddrPort }
			_, listErr := request(ctx, http.MethodGet, e.caller, "/v1/addresses", nil, &list)
			cancel()
			if err == nil && listErr == nil && status == http.StatusOK && a.Coverage.Whole && len(list.Addresses) == len(entries) {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: status %d, answer %+v, addresses %v, %v: %s", e.id, status, a, list, err, e.log)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return a
}

func workload(services int) (kctfake.Workload, []string) {
	w := kctfake.Workload{Seed: 1, Zones: []kctport.Zone{"a", "b", "c"}}
	var names []string
	for n := range services {
		name := fmt.Sprintf("match-%d", n)
		names = append(names, name)
		w.Services = append(w.Services, kctfake.Service{
			Name: kctport.ServiceName(name), Version: "v1", EndpointCount: 3, Shards: 1, Snapshots: []kctport.Snapshot{1},
			Slots: 4, Queue: 4, Connections: 35, ConnectDelay: kctwire.Duration(6 * time.Millisecond),
			Base: kctwire.Duration(2 * time.Millisecond), Tail: kctwire.Duration(time.Millisecond),
		})
	}
	return w, names
}

// startStandIns starts a platform, and endpoints of a number of services that register there; it returns the platform's address and the services' names.
func startStandIns(t *testing.T, services int) (platform netip.AddrPort, names []string) {
	t.Helper()
	platform = freePort(t)
	store := start(t, "kctstandin", "platform", "--listen", platform.String())
	if line := <-store.lines; !strings.HasPrefix(line, "platform") {
		t.Fatalf("platform printed %q", line)
	}
	w, names := workload(services)
	raw, err := json.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "workload.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	start(t, "kctstandin", "endpoints", "--platform", platform.String(), "--workload", file)
	return platform, names
}

// Guards against commands that don't work together as separate processes: entries that don't find each other through
// the platform, or don't give a complete answer over every service.
func TestProcesses(t *testing.T) {
	platform, names := startStandIns(t, 25)
	list := kctfake.NewRemotePlatform(platform)
	var entries []*entry
	for n := range 8 {
		entries = append(entries, startEntry(t, n, platform))
	}
	if err := list.Err(); err != nil {
		t.Fatal(err)
	}
	a := waitComplete(t, entries, names)
	if a.Coverage.Total != 25 || a.Snapshot != 1 || len(a.Items) == 0 {
		t.Errorf("answer %+v", a)
	}
}

// deployment runs entries as processes, with the platform and the endpoints inside the test.
type deployment struct {
	platform *kctfake.Platform
	fleet    *kctfake.Fleet
	entries  []*entry
	names    []string
}

func deploy(t *testing.T, entries, services int) *deployment {
	t.Helper()
	d := &deployment{platform: kctfake.NewPlatform()}
	address, err := d.platform.Start(context.WithoutCancel(t.Context()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.platform.Stop)
	w, names := workload(services)
	d.names = names
	if d.fleet, err = kctfake.StartFleet(context.WithoutCancel(t.Context()), w, d.platform); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.fleet.Stop)
	for n := range entries {
		d.entries = append(d.entries, startEntry(t, n, address))
	}
	waitComplete(t, d.entries, names)
	return d
}

// ranIn returns the number of requests that the endpoints of a zone have run.
func (d *deployment) ranIn(zone kctport.Zone) (sum uint64) {
	for _, e := range d.fleet.Endpoints {
		if e.Registration().Zone == zone {
			sum += e.Counts().Ran
		}
	}
	return sum
}

// startLoad sends queries through the given entries until the returned function is called.
func (d *deployment) startLoad(entries []*entry) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for n := range 6 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				call, done := context.WithTimeout(ctx, time.Second)
				var a answer
				// Errors are expected from a paused entry; the tests check the endpoints.
				_, _ = request(call, http.MethodPost, entries[(n+i)%len(entries)].caller, "/v1/query", map[string]any{
					"services": d.names, "route": "match", "text": fmt.Sprint("eel ", i%20), "deadline": "800ms",
				}, &a)
				done()
			}
		})
	}
	return func() { cancel(); group.Wait() }
}

// Guards against an entry that, paused while an operator takes a zone out of service, sends requests to the zone when
// it resumes.
func TestPausedEntryMissesZoneOut(t *testing.T) {
	d := deploy(t, 4, 3)
	stop := d.startLoad(d.entries)
	defer stop()
	time.Sleep(time.Second)
	paused := d.entries[1]
	paused.signal(syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	var result struct{ Outcome string }
	if _, err := request(t.Context(), http.MethodPost, d.entries[0].caller, "/v1/changes", map[string]any{
		"id": "out", "author": "test", "kind": "zoneout", "zone": map[string]any{"zone": "b", "reason": "test"},
	}, &result); err != nil || result.Outcome != "accepted" {
		t.Fatalf("zone out: %+v, %v", result, err)
	}
	time.Sleep(5 * time.Second)
	before := d.ranIn("b")
	queued := d.queueQueries(paused, 40)
	time.Sleep(200 * time.Millisecond)
	paused.signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	queued.Wait()
	if after := d.ranIn("b"); after != before {
		t.Errorf("%d requests reached the zone more than 5 s after it was taken out", after-before)
	}
}

// queueQueries sends queries to a paused entry; they wait in its socket buffers, so that it reads them on resuming,
// before its control state is up to date.
func (d *deployment) queueQueries(to *entry, count int) *sync.WaitGroup {
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			call, done := context.WithTimeout(context.Background(), 10*time.Second)
			defer done()
			var a answer
			_, _ = request(call, http.MethodPost, to.caller, "/v1/query", map[string]any{
				"services": d.names, "route": "match", "text": fmt.Sprint("eel ", n%20), "deadline": "800ms",
			}, &a)
		})
	}
	return &group
}

// Guards against an entry that, without contact to the store and its peers, still sends requests, since operators may
// have taken a zone out meanwhile, or reports another outcome than not run, or doesn't resume after contact is restored.
func TestIsolatedEntryStops(t *testing.T) {
	d := deploy(t, 3, 2)
	d.platform.SetFaults(kctwire.PlatformFaults{Outage: true})
	for _, e := range d.entries[1:] {
		e.signal(syscall.SIGSTOP)
	}
	time.Sleep(5 * time.Second)
	ran := func() uint64 { return d.ranIn("a") + d.ranIn("b") + d.ranIn("c") }
	before := ran()
	for n := range 20 {
		var a answer
		_, err := request(t.Context(), http.MethodPost, d.entries[0].caller, "/v1/query", map[string]any{
			"services": d.names, "route": "match", "text": fmt.Sprint("eel ", n), "deadline": "300ms",
		}, &a)
		if err != nil || a.Code != "isolated" || a.Ran != "no" {
			t.Errorf("reply %+v, %v; want isolated and not run", a, err)
		}
	}
	if after := ran(); after != before {
		t.Errorf("%d parts ran for an isolated entry", after-before)
	}
	d.platform.SetFaults(kctwire.PlatformFaults{})
	for _, e := range d.entries[1:] {
		e.signal(syscall.SIGCONT)
	}
	waitComplete(t, d.entries, d.names)
}

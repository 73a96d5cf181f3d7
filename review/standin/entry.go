package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The bounds of the small deployment, as in the example of DEPLOY.md.
const (
	memoryMB = 284
	applyMS  = 3000
	graceS   = 6
)

// entry is a process of the deploy file's role on a machine of its own loopback address.
type entry struct {
	name, zone, ip string
	settings       string
	dir            string
	ports          map[string]int
	command        *exec.Cmd
	done           chan struct{}
	starts         int
}

// deployment is a set of entries, servers and a store.
type deployment struct {
	dir     string
	root    string
	net     string
	record  *record
	store   *store
	entries []*entry
	servers []*server
	stamps  *stamps
	// storeAddress is where entries reach the store, which may be a proxy.
	storeAddress func(e *entry) string
}

// randomNet returns a random part of the loopback network, so that the ports of a case are free.
func randomNet() string {
	return fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
}

// newDeployment starts a store; the folder is removed by close.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "kingcupturn-review-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, root: root, net: randomNet(), record: r, stamps: newStamps()}
	d.store, err = newStore(d.net + ".250")
	if err != nil {
		return nil, err
	}
	d.storeAddress = func(*entry) string { return d.store.address }
	return d, nil
}

// addEntry adds an entry that is not started.
func (d *deployment) addEntry(zone string) *entry {
	n := len(d.entries) + 1
	e := &entry{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", d.net, n), ports: map[string]int{
		"caller": 8226, "ready": 8227, "directory": 8225, "metrics": 9464, "peer": 7740, "relay": 7741,
	}}
	e.settings = filepath.Join(d.dir, e.name+".json")
	d.entries = append(d.entries, e)
	return e
}

func (e *entry) address(name string) string {
	return net.JoinHostPort(e.ip, fmt.Sprint(e.ports[name]))
}

// start starts the process with the command of the deploy file and the fields of its template.
func (d *deployment) start(e *entry) error {
	zones := map[string]bool{}
	var list []string
	for _, other := range d.entries {
		if !zones[other.zone] {
			zones[other.zone] = true
			list = append(list, other.zone+"=region")
		}
	}
	settings := map[string]any{
		"id": e.name, "zone": e.zone, "caller": e.address("caller"), "ready": e.address("ready"), "directory": e.address("directory"),
		"metrics": e.address("metrics"), "peer": e.address("peer"), "relay": e.address("relay"), "store": d.storeAddress(e),
		"quota": 0.4, "cores": 1, "memory": memoryMB, "grace": fmt.Sprintf("%ds", graceS), "zones": strings.Join(list, ","),
		"apply": fmt.Sprintf("%dms", applyMS), "heartbeat": "1200ms", "drain": "3000ms", "overshoot": 1.5, "coldslack": 5, "ratio": 0.2, "slack": 58,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.command = exec.Command(filepath.Join(d.root, "target", "kingcupturn"), "serve")
	e.command.Dir = d.root
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPTURN_CONFIG=" + e.settings}
	e.command.Stdout, e.command.Stderr = log, log
	// The process ends with this one, however that ends.
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		return err
	}
	e.starts++
	e.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		c.Wait()
		close(done)
	}(e.command, e.done)
	return nil
}

// kill ends the process at once and waits for its end.
func (e *entry) kill() {
	if e.command == nil {
		return
	}
	e.command.Process.Kill()
	<-e.done
}

// startAll starts all entries and waits until they are ready.
func (d *deployment) startAll() error {
	for _, e := range d.entries {
		if err := d.start(e); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if !e.waitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

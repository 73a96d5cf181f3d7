package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// entry is one process of the program under review.
type entry struct {
	world     *world
	id, zone  string
	caller    string
	ready     string
	directory string
	settings  string
	log       *os.File
	cmd       *exec.Cmd
	ended     chan struct{}
}

// firstPort is below the ports that the system gives to outgoing connections.
const firstPort = 12000

// freeAddress returns a loopback address with a free port that no other entry has.
func (w *world) freeAddress() (string, error) {
	for w.port < 30000 {
		w.port++
		at := fmt.Sprintf("%s:%d", w.host, w.port)
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		l.Close()
		return at, nil
	}
	return "", errSetup
}

// newEntry writes the settings of an entry, with the values of a small deployment.
func newEntry(w *world, n int, zone string) (*entry, error) {
	e := &entry{world: w, id: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone}
	s := map[string]any{
		"id": e.id, "zone": zone, "store": w.store.address, "quota": 0.4, "cores": 1, "memory": 284, "grace": "6s",
		"zones": "metkovic=dalmacija,opuzen=dalmacija,ploce=dalmacija", "apply": "3000ms", "heartbeat": "1200ms", "drain": "3000ms",
		"overshoot": 1.5, "coldslack": 5, "ratio": 0.2, "expose": 0.1, "exposeslack": 50, "slack": 58,
	}
	for _, name := range []string{"caller", "ready", "directory", "metrics", "peer", "relay"} {
		at, err := w.freeAddress()
		if err != nil {
			return nil, err
		}
		s[name] = at
	}
	e.caller, e.ready, e.directory = s["caller"].(string), s["ready"].(string), s["directory"].(string)
	e.settings = filepath.Join(w.dir, e.id+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	if e.log == nil {
		var err error
		if e.log, err = os.Create(filepath.Join(e.world.dir, e.id+".log")); err != nil {
			return err
		}
	}
	e.cmd = exec.Command(e.world.program, "serve")
	e.cmd.Dir = e.world.root
	e.cmd.Env = []string{"KINGCUPTURN_CONFIG=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	cmd, ended := e.cmd, e.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.world.record("entry %s: %v", e.id, s)
	_ = e.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
	_ = e.cmd.Process.Kill()
	<-e.ended
}

// isReady reports whether the entry answers a readiness check with 200.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + e.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

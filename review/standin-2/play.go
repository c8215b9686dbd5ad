package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case: its record, its temporary folder and the processes that it has started.
type play struct {
	options
	start  time.Time
	folder string

	mu      sync.Mutex // guards all fields below
	record  *bufio.Writer
	file    *os.File
	broken  int
	routers []*exec.Cmd
	ended   bool
}

// newPlay opens the record and makes a temporary folder.
func newPlay(o options) (*play, error) {
	file, err := os.Create(o.record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &play{options: o, start: time.Now(), folder: folder, record: bufio.NewWriter(file), file: file}, nil
}

// troubled reports whether the disruption is played.
func (p *play) troubled() bool { return p.trouble != "0" }

// now returns the seconds since the start of the play.
func (p *play) now() float64 { return time.Since(p.start).Seconds() }

// sleepUntil waits until so many seconds after the start of the play.
func (p *play) sleepUntil(at float64) { time.Sleep(seconds(at - p.now())) }

// note writes a line to the record: the time, who speaks and what happened.
func (p *play) note(who, format string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		_, _ = fmt.Fprintf(p.record, "%9.4f %-10s %s\n", p.now(), who, fmt.Sprintf(format, arguments...))
	}
}

// breakRule records that the rule was broken.
func (p *play) breakRule(format string, arguments ...any) {
	p.note("BROKEN", format, arguments...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken++
}

// breaks returns how often the rule was broken.
func (p *play) breaks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken
}

// end kills the processes that the play has started, and closes the record.
func (p *play) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	for _, router := range p.routers {
		_ = syscall.Kill(-router.Process.Pid, syscall.SIGKILL) // the group has only what the play has started
		_, _ = router.Process.Wait()
	}
	for _, pid := range marked(p.folder + "/") { // routers that agents of the play have started
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	_ = p.record.Flush()
	_ = p.file.Close()
	_ = os.RemoveAll(p.folder)
}

// router is a running router.
type router struct {
	address string
	command *exec.Cmd
	exited  chan struct{}
}

// routerName is the name of the router that a play starts.
const routerName = "n0"

// startRouter starts a router with a configuration and waits until it answers an empty query. Its log goes to a file in the
// temporary folder.
func (p *play) startRouter(c configuration) (*router, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(p.folder, "config.json")
	if err := os.WriteFile(path, c.document(routerName, listen), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(p.folder, "router.log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", p.run)
	command.Dir = p.root
	command.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME="+routerName, "GW_LISTEN="+listen, "GW_DISCOVERY="+c.discovery)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.routers = append(p.routers, command)
	p.mu.Unlock()
	p.note("router", "%s started as process %d, listens on %s", routerName, command.Process.Pid, listen)
	r := &router{address: listen, command: command, exited: make(chan struct{})}
	return r, r.awaitReady()
}

// awaitReady waits until the router answers an empty query.
func (r *router) awaitReady() error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c, err := dial(r.address, time.Second)
		if err != nil {
			continue
		}
		answered := c.ask("", time.Now().Add(time.Second))
		c.close()
		if answered.kind == outcomeEmpty {
			return nil
		}
	}
	return fmt.Errorf("the router at %s did not become ready", r.address)
}

// reload replaces the configuration file of the router and has the router read it again, with its settings.
func (p *play) reload(r *router, c configuration) error {
	path := filepath.Join(p.folder, "config.json")
	var document map[string]any
	if err := json.Unmarshal(c.document(routerName, r.address), &document); err != nil {
		return err
	}
	document["move"] = true
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".next", path); err != nil {
		return err
	}
	r.signal(syscall.SIGHUP)
	p.note("router", "gets new settings and SIGHUP")
	return nil
}

// signal sends a signal to the router's process.
func (r *router) signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// startAll starts hosts, of which the first is the primary, an agent that lists them, and a router.
func (p *play) startAll(s *site, work time.Duration, ids ...string) (*router, *discovery, []*host, error) {
	var hosts []*host
	for i, id := range ids {
		h, err := p.startHost(id, i == 0, work)
		if err != nil {
			return nil, nil, nil, err
		}
		hosts = append(hosts, h)
	}
	agent, err := p.startDiscovery(hosts...)
	if err != nil {
		return nil, nil, nil, err
	}
	r, err := p.startRouter(configuration{site: s, discovery: agent.address, known: agent.list()})
	return r, agent, hosts, err
}

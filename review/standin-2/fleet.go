package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case stale-step, in seconds, and its figures.
const (
	fleetSoak      = 2.0  // the fleet file's soak
	standsStill    = 0.2  // before the soak's end, from when on the agent of the second router stands still
	goesOnAfter    = 1.5  // seconds from the begin of the second step until that agent goes on
	statusAfter    = 0.5  // and until the operator asks for the fleet's status
	diesFor        = 2.4  // seconds for which the first router is killed whenever it comes up
	knownDown      = 1.0  // a router that has not served for so long is known to be down: two looks
	lookEvery      = 0.02 // seconds between two looks at a router
	lookTimeout    = 0.2
	killEvery      = 2 * time.Millisecond // between two looks for a process to kill
	fleetReadyTime = 20.0
	rollLongest    = 60.0
)

func init() { cases["stale-step"] = playStaleStep }

// fleet is a fleet of two routers and three agents, of which one has no router.
type fleet struct {
	play   *play
	folder string
	file   string
	listen map[string]string // address of each router, by its name
	agents map[string]*exec.Cmd

	mu          sync.Mutex         // guards the fields below
	downSince   map[string]float64 // for each router that does not serve, since when
	readySince  map[string]float64 // for each router that serves, since when
	drainLogged map[string]int     // how often each router's log says that it drains
}

// playStaleStep rolls a revision out. When the step of the second router is begun, its agent stands still for a moment and
// the first router dies again and again. The tool sees that, and must not take the last router down.
func playStaleStep(p *play) error {
	f, err := p.newFleet()
	if err != nil {
		return err
	}
	if err := f.rollFirst(); err != nil {
		return err
	}
	f.forgetDrains()
	end := make(chan struct{})
	var watchers sync.WaitGroup
	for name := range f.listen {
		watchers.Go(func() { f.watch(name, end) })
	}
	watchers.Go(func() { f.watchDrains(end) })
	err = f.rollSecond()
	close(end)
	watchers.Wait()
	return err
}

// newFleet makes the certificates and the fleet file, and starts the agents.
func (p *play) newFleet() (*fleet, error) {
	f := &fleet{
		play: p, folder: p.folder, file: filepath.Join(p.folder, "fleet.sexp"), listen: map[string]string{},
		agents: map[string]*exec.Cmd{}, downSince: map[string]float64{}, readySince: map[string]float64{}, drainLogged: map[string]int{},
	}
	var text strings.Builder
	fmt.Fprintf(&text, "(name small) (floor 1) (times (soak %gs))\n(hall gebze (floor 1))\n", fleetSoak)
	for _, agent := range []string{"a1", "a2", "a3"} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&text, "(agent %s (listen %s) (hall gebze) (folder %s) (program %s))\n",
			agent, address, filepath.Join(f.folder, agent), filepath.Join(p.root, "bin/stoatdale"))
	}
	for i, name := range []string{"n1", "n2"} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		f.listen[name] = address
		fmt.Fprintf(&text, "(instance %s (agent a%d) (listen %s) (me %d))\n", name, i+1, address, i)
	}
	if err := os.WriteFile(f.file, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	for _, arguments := range [][]string{
		{"keys", "init", "small"}, {"keys", "issue", "agent", "--fleet", f.file}, {"keys", "issue", "operator", "ayla"},
	} {
		if err := f.tool(arguments...); err != nil {
			return nil, err
		}
	}
	for _, agent := range []string{"a1", "a2", "a3"} {
		command, err := f.start("agent-"+agent+".log", "agent", "--fleet", f.file, "--name", agent)
		if err != nil {
			return nil, err
		}
		f.agents[agent] = command
	}
	return f, nil
}

// command returns a call of stoatctl.
func (f *fleet) command(arguments ...string) *exec.Cmd {
	arguments = append(arguments, "--keys", filepath.Join(f.folder, "keys"))
	command := exec.Command(filepath.Join(f.play.root, "bin/stoatctl"), arguments...)
	command.Dir = f.play.root
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	return command
}

// tool runs stoatctl to its end.
func (f *fleet) tool(arguments ...string) error {
	raw, err := f.command(arguments...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("stoatctl %s: %w: %s", strings.Join(arguments, " "), err, raw)
	}
	return nil
}

// start starts stoatctl, which goes on until the end of the play, with a log in the temporary folder.
func (f *fleet) start(log string, arguments ...string) (*exec.Cmd, error) {
	file, err := os.Create(filepath.Join(f.folder, log))
	if err != nil {
		return nil, err
	}
	command := f.command(append(arguments, "--log", "info")...)
	command.Stdout, command.Stderr = file, file
	if err := command.Start(); err != nil {
		return nil, err
	}
	f.play.mu.Lock()
	f.play.routers = append(f.play.routers, command)
	f.play.mu.Unlock()
	f.play.note("stoatctl", "%s: process %d", strings.Join(arguments, " "), command.Process.Pid)
	return command, nil
}

// push stores a revision with a number of sockets at all agents.
func (f *fleet) push(name string, sockets int, agent *discovery) error {
	s := gebze()
	s.sockets = sockets
	c := configuration{site: s, discovery: agent.address, known: agent.list()}
	var document map[string]any
	if err := json.Unmarshal(c.document(routerName, "127.0.0.1:1"), &document); err != nil {
		return err
	}
	for _, key := range []string{"name", "listen", "seed"} {
		delete(document, key)
	}
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	return f.tool("fleet", "push", path, "--name", name, "--fleet", f.file, "--as", "ayla")
}

// rollFirst pushes two revisions and rolls the first one out.
func (f *fleet) rollFirst() error {
	primary, err := f.play.startHost("s-primary", true, serviceTime)
	if err != nil {
		return err
	}
	agent, err := f.play.startDiscovery(primary)
	if err != nil {
		return err
	}
	var pushed error
	for until := f.play.now() + fleetReadyTime; f.play.now() < until; time.Sleep(100 * time.Millisecond) {
		if pushed = f.push("first", 256, agent); pushed == nil {
			break
		}
	}
	if pushed != nil {
		return pushed
	}
	if err := f.push("second", 300, agent); err != nil {
		return err
	}
	return f.tool("fleet", "roll", "first", "--fleet", f.file, "--as", "ayla")
}

// rollSecond rolls the second revision out and plays the trouble in it.
func (f *fleet) rollSecond() error {
	p := f.play
	p.note("operator", "rolls the second revision out")
	before := p.now()
	roll, err := f.start("roll.log", "fleet", "roll", "second", "--fleet", f.file, "--as", "ayla")
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = roll.Wait(); close(ended) }()
	if p.troubled() {
		if err := f.troubleSecondStep(before); err != nil {
			return err
		}
	}
	select {
	case <-ended:
		p.note("operator", "the rollout has ended: %v", roll.ProcessState)
	case <-time.After(seconds(rollLongest)):
		p.note("operator", "the rollout goes on")
	}
	return nil
}

// troubleSecondStep stops the second agent just before the first router's soak ends, and kills the first router from the
// begin of the second step on.
func (f *fleet) troubleSecondStep(before float64) error {
	p := f.play
	if !f.await(func() bool {
		return f.drains("n1") > 0 && f.servesSince("n1") > before && f.servesSince("n1") < p.now()-0.1
	}) {
		return fmt.Errorf("the first router was not changed")
	}
	p.sleepUntil(f.servesSince("n1") + fleetSoak - standsStill)
	_ = f.agents["a2"].Process.Signal(syscall.SIGSTOP)
	p.note("a2", "stands still")
	defer func() { _ = f.agents["a2"].Process.Signal(syscall.SIGCONT) }()
	if !f.await(func() bool { return strings.Count(f.text("roll.log"), "step begun") > 1 }) {
		return fmt.Errorf("the second step was not begun")
	}
	begun := p.now()
	p.note("tool", "has stored that it begins the step of n2")
	var dying sync.WaitGroup
	dying.Go(func() {
		for p.now() < begun+diesFor {
			for _, pid := range f.routers("n1") {
				_ = syscall.Kill(pid, syscall.SIGKILL)
				p.note("n1", "process %d is killed", pid)
			}
			time.Sleep(killEvery)
		}
	})
	p.sleepUntil(begun + statusAfter)
	dying.Go(func() { // takes as long as a call to the agent that stands still
		status, _ := f.command("fleet", "status", "--json", "--fleet", f.file, "--as", "ayla").Output()
		p.note("status", "of %.3f: %s", begun+statusAfter, strings.Join(strings.Fields(string(status)), " "))
	})
	p.sleepUntil(begun + goesOnAfter)
	_ = f.agents["a2"].Process.Signal(syscall.SIGCONT)
	p.note("a2", "goes on")
	dying.Wait()
	return nil
}

// await waits until a condition holds, and reports whether it came to hold in time.
func (f *fleet) await(holds func() bool) bool {
	for until := f.play.now() + fleetReadyTime; f.play.now() < until; time.Sleep(seconds(lookEvery)) {
		if holds() {
			return true
		}
	}
	return false
}

// text returns the content of a file in the temporary folder.
func (f *fleet) text(name string) string {
	raw, _ := os.ReadFile(filepath.Join(f.folder, name))
	return string(raw)
}

// routers returns the processes of a router, which bear its folder in their environment.
func (f *fleet) routers(name string) []int {
	return marked(filepath.Join(f.folder, "a"+name[1:], name) + "/")
}

// marked returns the processes that an agent has started for a router's folder.
func marked(folder string) (pids []int) {
	entries, _ := os.ReadDir("/proc")
	for _, entry := range entries {
		pid, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		environment, _ := os.ReadFile(filepath.Join("/proc", entry.Name(), "environ"))
		if bytes.Contains(environment, []byte("STOATDALE_MARK="+folder)) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// watch looks at a router again and again and notes when it begins and ends to serve.
func (f *fleet) watch(name string, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(seconds(lookEvery)):
		}
		f.setServing(name, serves(f.listen[name]))
	}
}

// serves reports whether a router answers an empty query.
func serves(address string) bool {
	c, err := dial(address, seconds(lookTimeout))
	if err != nil {
		return false
	}
	defer c.close()
	return c.ask("", time.Now().Add(seconds(lookTimeout))).kind == outcomeEmpty
}

func (f *fleet) setServing(name string, serving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, was := f.readySince[name]
	_, known := f.downSince[name]
	switch {
	case serving && !was:
		delete(f.downSince, name)
		f.readySince[name] = f.play.now()
		f.play.note(name, "serves")
	case !serving && (was || !known):
		delete(f.readySince, name)
		f.downSince[name] = f.play.now()
		f.play.note(name, "does not serve")
	}
}

// servesSince returns since when a router has served, or 0 if it does not.
func (f *fleet) servesSince(name string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readySince[name]
}

// drains returns how often a router has been told to end since forgetDrains.
func (f *fleet) drains(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drainLogged[name]
}

// forgetDrains counts the drains that are in the logs already, of which none counts.
func (f *fleet) forgetDrains() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.listen {
		f.drainLogged[name] = -f.drainsInLog(name)
	}
}

// drainsInLog returns how often a router's log says that it has been told to end.
func (f *fleet) drainsInLog(name string) int {
	return strings.Count(f.text(filepath.Join("a"+name[1:], name, "router.log")), `"message":"draining"`)
}

// watchDrains checks, whenever a router is told to end, that another one serves or has ended to serve only just now.
func (f *fleet) watchDrains(end chan struct{}) {
	before := map[string]int{}
	f.mu.Lock()
	for name := range f.listen {
		before[name] = -f.drainLogged[name]
	}
	f.mu.Unlock()
	others := map[string]string{"n1": "n2", "n2": "n1"}
	for {
		select {
		case <-end:
			return
		case <-time.After(seconds(lookEvery)):
		}
		for name, other := range others {
			found := f.drainsInLog(name) - before[name]
			f.mu.Lock()
			isNew := found > f.drainLogged[name] && found > 0
			f.drainLogged[name] = found
			since, down := f.downSince[other]
			f.mu.Unlock()
			if !isNew {
				continue
			}
			f.play.note(name, "is told to end")
			if down && f.play.now()-since > knownDown {
				f.play.breakRule("%s is told to end, and %s has not served for %.2f s: no router serves", name, other, f.play.now()-since)
			}
		}
	}
}

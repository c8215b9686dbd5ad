package drill

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/lab/testserver"
	"stoatdale.example/stoatdale/internal/pki"
)

const (
	authorityLifetime   = 24 * time.Hour
	certificateLifetime = time.Hour

	agentPort  = ":7400"
	routerPort = ":5432"
	maxZones   = 3

	agentsPollInterval = 50 * time.Millisecond
	killAttempts       = 100                   // attempts by tearDown to kill all routers that still run
	killInterval       = 20 * time.Millisecond // pause between these attempts
)

// setUp creates the folder, keys and fleet file, and starts the backends, discovery and the agents.
func (d *rolloutDrill) setUp(ctx context.Context) error {
	// Makes routers whose agent is killed children of this process, so that tearDown can wait for them.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("subreaper: %w", err)
	}
	if err := d.makeFolder(); err != nil {
		return err
	}
	if err := d.startBackends(); err != nil {
		return err
	}
	if err := d.writeFleet(); err != nil {
		return err
	}
	folder := pki.Folder(filepath.Join(d.folder, "keys"))
	if err := issueKeys(folder, d.fleet); err != nil {
		return err
	}
	d.agents = make([]*exec.Cmd, len(d.fleet.Agents))
	for i := range d.fleet.Agents {
		if err := d.startAgent(i); err != nil {
			return err
		}
	}
	var err error
	if d.client, err = control.New(d.fleet, folder, operatorName); err != nil {
		return err
	}
	return d.awaitAgents(ctx)
}

func (d *rolloutDrill) makeFolder() error {
	d.folder = d.options.Folder
	if d.folder == "" {
		temporary, err := os.MkdirTemp("", "drill")
		if err != nil {
			return err
		}
		d.folder = temporary
	}
	absolute, err := filepath.Abs(d.folder)
	if err != nil {
		return err
	}
	d.folder = absolute
	return os.MkdirAll(d.folder, 0o700)
}

// startBackends starts the backends (simulated database servers) and discovery, and creates the load, which counts the
// statements that backends receive.
func (d *rolloutDrill) startBackends() error {
	d.load = &testserver.Load{
		Clients: clientsPerRouter * d.options.Instances, Think: clientThinkTime, Timeout: clientTimeout, WriteShare: writeShare,
	}
	for i := range d.backends {
		readOnly := "on"
		if i == 0 {
			readOnly = "off"
		}
		backend, err := testserver.NewBackend(func(statement string) []byte {
			d.load.RecordStatement(statement)
			time.Sleep(serviceTime)
			return testserver.Row("v", readOnly)
		})
		if err != nil {
			return err
		}
		d.backends[i] = backend
	}
	discovery, err := testserver.NewDiscovery(d.backends[0].Entry("a", "ready", "off"), d.backends[1].Entry("b", "ready", "on"),
		d.backends[2].Entry("c", "ready", "on"))
	if err != nil {
		return err
	}
	d.discovery = discovery
	return nil
}

// allowedUnavailable returns how many instances the floors of the fleet file allow not to serve: the instance in its step and,
// if AgentStaysGone is set, the instance whose agent is gone. Its state is unknown, which counts as not serving.
func (d *rolloutDrill) allowedUnavailable() int {
	if d.options.AgentStaysGone {
		return 2
	}
	return 1
}

// writeFleet writes and loads the fleet file, with up to three zones and one agent for each instance.
func (d *rolloutDrill) writeFleet() error {
	instances, unavailable := d.options.Instances, d.allowedUnavailable()
	fleet := inventory.Fleet{
		Name: "drill", MinAvailable: instances - unavailable,
		Times: inventory.Times{
			Soak: 0.3, FreshFor: 1, ContactTimeout: 6, StepTimeout: 60,
			LeaseTerm: 4, PollInterval: 0.1, ReadyTimeout: 10, DrainGrace: 1,
		},
	}
	zones := min(maxZones, instances/2)
	zoneSizes := make([]int, zones)
	for i := range instances {
		zone, name, host := i*zones/instances, fmt.Sprint("a", i+1), testserver.Host()
		zoneSizes[zone]++
		fleet.Agents = append(fleet.Agents, inventory.Agent{
			Name: name, Zone: zoneName(zone), Listen: netip.MustParseAddrPort(host + agentPort),
			Folder: filepath.Join(d.folder, name), Program: d.options.RouterProgram,
		})
		fleet.Instances = append(fleet.Instances, inventory.Instance{
			Name: fmt.Sprint("n", i+1), Agent: name, Listen: netip.MustParseAddrPort(host + routerPort),
		})
		d.load.Routers = append(d.load.Routers, host+routerPort)
	}
	for zone, size := range zoneSizes {
		fleet.Zones = append(fleet.Zones, inventory.Zone{Name: zoneName(zone), MinAvailable: max(0, size-unavailable)})
	}
	if err := os.WriteFile(d.fleetFile(), fleet.Text(), 0o600); err != nil {
		return err
	}
	loaded, err := inventory.Load(d.fleetFile())
	if err != nil {
		return err
	}
	d.fleet = loaded
	return nil
}

func (d *rolloutDrill) fleetFile() string { return filepath.Join(d.folder, "fleet.sexp") }

func zoneName(zone int) string { return fmt.Sprint("hall", zone+1) }

// issueKeys creates an authority and issues certificates to the operator and all agents.
func issueKeys(folder pki.Folder, fleet *inventory.Fleet) error {
	now := time.Now()
	if err := folder.CreateAuthority("drill", authorityLifetime, now); err != nil {
		return err
	}
	if err := folder.Issue(pki.Operator, operatorName, certificateLifetime, now); err != nil {
		return err
	}
	for _, a := range fleet.Agents {
		if err := folder.Issue(pki.Agent, a.Name, certificateLifetime, now); err != nil {
			return err
		}
	}
	return nil
}

func (d *rolloutDrill) startAgent(i int) error {
	name := d.fleet.Agents[i].Name
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(d.options.ToolProgram, "agent", "--fleet", d.fleetFile(), "--name", name,
		"--keys", filepath.Join(d.folder, "keys"))
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt from the terminal reaches only the drill, not its agents
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("agent %s: %w", name, err)
	}
	d.mu.Lock()
	d.agents[i] = cmd
	d.mu.Unlock()
	return nil
}

// awaitAgents waits until all agents reply and know the state of their routers.
func (d *rolloutDrill) awaitAgents(ctx context.Context) error {
	for {
		status := d.client.Status(ctx)
		if agentsAreUp(&status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not all agents came up: %+v", status.Agents)
		case <-time.After(agentsPollInterval):
		}
	}
}

func agentsAreUp(status *control.Status) bool {
	for _, a := range status.Agents {
		if !a.Reachable {
			return false
		}
	}
	for _, instance := range status.Instances {
		if instance.State == rollout.ProcessUnknown.String() {
			return false
		}
	}
	return true
}

// pushRevision stores a revision at all agents and returns its digest. The drill's revisions differ in limits.sockets.
func (d *rolloutDrill) pushRevision(ctx context.Context, name string, sockets int) (digest string, err error) {
	settings := testserver.Deployment(d.discovery.Address, clientTimeout.Seconds(), map[string]any{
		"limits": map[string]any{"memory_mb": 48, "sockets": sockets},
	})
	content, err := revision.Canonical(name, testserver.JSON(settings))
	if err != nil {
		return "", err
	}
	if pushed := d.client.PushRevision(ctx, content, name); len(pushed.Missing) > 0 {
		return "", fmt.Errorf("pushing %s: %+v", name, pushed.Missing)
	}
	return revision.Digest(content), nil
}

// tearDown ends all processes and servers, even after a failed setUp, and removes the folder if it is temporary.
func (d *rolloutDrill) tearDown() {
	if d.client != nil {
		d.client.Close()
	}
	d.recordRunningRouters()
	d.killAgents()
	for range killAttempts {
		if killed, err := agent.KillRouters(d.folder); err != nil || killed == 0 {
			break
		}
		time.Sleep(killInterval)
	}
	for _, pid := range d.orphans {
		_, _ = unix.Wait4(pid, nil, unix.WNOHANG, nil)
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
	for _, backend := range d.backends {
		if backend != nil {
			backend.Close()
		}
	}
	if d.options.Folder == "" && d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}

func (d *rolloutDrill) killAgents() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cmd := range d.agents {
		if cmd != nil && cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
}

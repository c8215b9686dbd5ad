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
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/tool"
	"stoatdale.example/stoatdale/internal/keys"
	"stoatdale.example/stoatdale/internal/lab/stand"
)

// setUp makes keys, fleet file, members and agents.
func (s *stage) setUp(ctx context.Context) error {
	// Routers whose agent is killed come to this process, which waits for them at the end.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("subreaper: %w", err)
	}
	if s.dir = s.Keep; s.dir == "" {
		dir, err := os.MkdirTemp("", "drill")
		if err != nil {
			return err
		}
		s.dir = dir
	}
	var err error
	if s.dir, err = filepath.Abs(s.dir); err != nil {
		return err
	}
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	s.load = &stand.Load{Clients: clientsEach * s.Instances, Think: 20 * time.Millisecond, Timeout: clientTimeout, Writes: 0.2}
	for i := range s.member {
		role := "on"
		if i == 0 {
			role = "off"
		}
		if s.member[i], err = stand.NewMember(func(q string) []byte {
			s.load.Seen(q)
			time.Sleep(memberTime)
			return stand.Row("v", role)
		}); err != nil {
			return err
		}
	}
	if s.list, err = stand.NewDiscovery(s.member[0].Entry("a", "ready", "off"), s.member[1].Entry("b", "ready", "on"),
		s.member[2].Entry("c", "ready", "on")); err != nil {
		return err
	}
	if err := s.layOut(); err != nil {
		return err
	}
	folder := keys.Folder(filepath.Join(s.dir, "keys"))
	if err := folder.MakeAuthority("drill", 24*time.Hour, time.Now()); err != nil {
		return err
	}
	if err := folder.Issue(keys.Operator, operatorName, time.Hour, time.Now()); err != nil {
		return err
	}
	s.agents = make([]*exec.Cmd, len(s.fleet.Agents))
	for i, a := range s.fleet.Agents {
		if err := folder.Issue(keys.Agent, a.Name, time.Hour, time.Now()); err != nil {
			return err
		}
		if err := s.startAgent(i); err != nil {
			return err
		}
	}
	if s.tool, err = tool.New(s.fleet, folder, operatorName); err != nil {
		return err
	}
	return s.heard(ctx)
}

// layOut writes the fleet file: three halls, one agent an instance.
func (s *stage) layOut() error {
	away := s.away()
	f := layout.Fleet{Name: "drill", MinAvailable: s.Instances - away, Times: layout.Times{
		Soak: 0.3, FreshFor: 1, ContactTimeout: 6, StepTimeout: 60,
		LeaseTerm: 4, PollInterval: 0.1, ReadyTimeout: 10, DrainGrace: 1,
	}}
	halls := min(3, s.Instances/2)
	counts := make([]int, halls)
	for i := range s.Instances {
		hall, agent := i*halls/s.Instances, fmt.Sprint("a", i+1)
		counts[hall]++
		host := stand.Host()
		f.Agents = append(f.Agents, layout.Agent{
			Name: agent, Zone: fmt.Sprint("hall", hall+1),
			Listen: netip.MustParseAddrPort(host + ":7400"), Folder: filepath.Join(s.dir, agent), Program: s.Router,
		})
		f.Instances = append(f.Instances, layout.Instance{
			Name: fmt.Sprint("n", i+1), Agent: agent,
			Listen: netip.MustParseAddrPort(host + ":5432"),
		})
		s.load.Routers = append(s.load.Routers, host+":5432")
	}
	for i, n := range counts {
		f.Zones = append(f.Zones, layout.Zone{Name: fmt.Sprint("hall", i+1), MinAvailable: max(0, n-away)})
	}
	path := filepath.Join(s.dir, "fleet.sexp")
	if err := os.WriteFile(path, f.Text(), 0o600); err != nil {
		return err
	}
	var err error
	s.fleet, err = layout.Load(path)
	return err
}

func (s *stage) startAgent(i int) error {
	name := s.fleet.Agents[i].Name
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.Tool, "agent", "--fleet", filepath.Join(s.dir, "fleet.sexp"), "--name", name,
		"--keys", filepath.Join(s.dir, "keys"))
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt of the drill is the drill's to hand on
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("agent %s: %w", name, err)
	}
	s.mu.Lock()
	s.agents[i] = cmd
	s.mu.Unlock()
	return nil
}

// heard waits until all agents answer and know their routers.
func (s *stage) heard(ctx context.Context) error {
	for {
		st := s.tool.Status(ctx)
		ok := true
		for _, a := range st.Agents {
			ok = ok && a.Reachable
		}
		for _, x := range st.Instances {
			ok = ok && x.State != plan.ProcessUnknown.String()
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agents do not come up: %+v", st.Agents)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *stage) push(ctx context.Context, sockets int, name string) (string, error) {
	doc := stand.Deployment(s.list.At, clientTimeout.Seconds(), map[string]any{
		"limits": map[string]any{"memory_mb": 48, "sockets": sockets},
	})
	content, err := revision.Canonical(name, stand.JSON(doc))
	if err != nil {
		return "", err
	}
	if p := s.tool.PushRevision(ctx, content, name); len(p.Missing) > 0 {
		return "", fmt.Errorf("pushing %s: %+v", name, p.Missing)
	}
	return revision.Digest(content), nil
}

// strike takes everything down again.
func (s *stage) strike() {
	if s.tool != nil {
		s.tool.Close()
	}
	s.note()
	s.mu.Lock()
	for _, cmd := range s.agents {
		if cmd != nil && cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	s.mu.Unlock()
	for range 100 { // until none is left
		if n, err := agent.KillRouters(s.dir); err != nil || n == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, pid := range s.orphans {
		_, _ = unix.Wait4(pid, nil, unix.WNOHANG, nil)
	}
	if s.list != nil {
		s.list.Close()
	}
	for _, m := range s.member {
		if m != nil {
			m.Close()
		}
	}
	if s.Keep == "" && s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

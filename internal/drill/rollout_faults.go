package drill

import (
	"context"
	"path/filepath"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/lab/stand"
)

func (s *stage) killAgent(ctx context.Context, i int, after time.Duration) {
	time.Sleep(after)
	s.mu.Lock()
	cmd := s.agents[i]
	s.mu.Unlock()
	s.say("agent %s is killed %d ms into the step of %s", s.fleet.Agents[i].Name, after.Milliseconds(), s.fleet.Instances[i].Name)
	s.note()
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	if s.Gone {
		return
	}
	select {
	case <-time.After(awayFor):
	case <-ctx.Done():
		return
	}
	s.say("agent %s comes back", s.fleet.Agents[i].Name)
	if err := s.startAgent(i); err != nil {
		s.say("%v", err)
	}
}

// note remembers the routers that run: those whose agent is killed are this process's to wait for.
func (s *stage) note() {
	running, err := agent.RunningRouters(s.dir)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pids := range running {
		s.orphans = append(s.orphans, pids...)
	}
}

func (s *stage) folder(i int) string {
	return filepath.Join(s.fleet.Agents[i].Folder, s.fleet.Instances[i].Name)
}

// killRouter ends one router outright.
func (s *stage) killRouter(i int) {
	if _, err := agent.KillRouters(s.fleet.Agents[i].Folder); err != nil {
		s.say("%v", err)
	}
}

// hard is what a loop in a shell would do: kill, and wait until the agent has started it again. It changes no
// revision; what counts is what it costs.
func (s *stage) hard(ctx context.Context) error {
	for i := range s.fleet.Instances {
		began := time.Now()
		s.killRouter(i)
		time.Sleep(100 * time.Millisecond)
		for {
			c, err := stand.Dial(s.load.Routers[i], time.Second)
			if err == nil {
				_ = c.Close()
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(10 * time.Millisecond)
		}
		s.steps = append(s.steps, time.Since(began).Seconds())
		time.Sleep(300 * time.Millisecond)
	}
	s.report.State = "baseline"
	return nil
}

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/lab/stand"
)

// rig is a folder with keys, a fleet file of three agents and revisions, and the agents as processes.
type rig struct {
	t      *testing.T
	dir    string
	agents []*exec.Cmd
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, dir: t.TempDir()}
	text := "(name t) (floor 2) (hall h (floor 2)) (times (soak 200ms) (fresh 1s) (contact 2s) (claim 2s) (look 50ms) (ready 3s) (grace 100ms))\n"
	for i := range 3 {
		text += fmt.Sprintf("(agent a%d (listen %s) (hall h) (folder a%d) (program %q))\n(instance n%d (agent a%d) (listen %s))\n",
			i, stand.Host()+":7400", i, filepath.Join(bin, "stoatdale"), i, i, stand.Host()+":5432")
	}
	r.write("fleet.sexp", text)
	r.ok("keys", "init", "t")
	r.ok("keys", "issue", "operator", "ayla", "mehmet")
	r.ok("keys", "issue", "agent", "--fleet", "fleet.sexp")
	for name, sockets := range map[string]int{"a": 100, "b": 101} {
		r.write(name+".json", string(stand.JSON(stand.Deployment("127.0.0.1:9", 0.2,
			map[string]any{"limits": map[string]any{"memory_mb": 32, "sockets": sockets}}))))
	}
	return r
}

func (r *rig) write(name, text string) {
	require.NoError(r.t, os.WriteFile(filepath.Join(r.dir, name), []byte(text), 0o600))
}

func (r *rig) ok(args ...string) said {
	r.t.Helper()
	s := run(r.t, r.dir, args...)
	require.Zero(r.t, s.status, "%v: %s", args, s.err)
	return s
}

// fleet runs a fleet command as an operator.
func (r *rig) fleet(as string, args ...string) said {
	r.t.Helper()
	return run(r.t, r.dir, append([]string{"fleet", "--fleet", "fleet.sexp", "--as", as}, args...)...)
}

func (r *rig) start() {
	for i := range 3 {
		cmd := exec.Command(filepath.Join(bin, "stoatctl"), "agent", "--fleet", "fleet.sexp", "--name", fmt.Sprint("a", i))
		cmd.Dir = r.dir
		require.NoError(r.t, cmd.Start())
		r.agents = append(r.agents, cmd)
	}
	r.t.Cleanup(func() {
		for _, cmd := range r.agents {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		for n := 1; n > 0; time.Sleep(5 * time.Millisecond) {
			n, _ = agent.KillRouters(r.dir)
		}
	})
	for late := time.Now().Add(patience); r.fleet("ayla", "status").status != 0; time.Sleep(20 * time.Millisecond) {
		require.True(r.t, time.Now().Before(late), "agents do not come up")
	}
}

func TestFleetFromTheCommandLine(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	s := r.fleet("ayla", "status")
	assert.Equal(t, 1, s.status, "no agent runs")
	assert.Contains(t, s.err, "agent a0: it cannot be reached")
	r.start()
	s = r.fleet("ayla", "push", "a.json", "--name", "autumn", "--json")
	require.Zero(t, s.status, s.err)
	assert.EqualValues(t, 3, s.last(t)["kept"])
	assert.Equal(t, 1, r.fleet("ayla", "roll", "winter").status)
	s = r.fleet("ayla", "roll", "autumn", "--json")
	require.Zero(t, s.status, s.err)
	assert.Equal(t, "complete", s.last(t)["outcome"])
	require.Zero(t, r.fleet("mehmet", "push", "b.json", "--name", "winter").status)
	s = r.fleet("ayla", "diff", "b.json")
	assert.Contains(t, s.out, "limits.sockets: 100 -> 101")
	assert.Contains(t, s.out, "n0: restart limits")
	s = r.fleet("ayla", "diff", "autumn", "winter", "--json")
	assert.Contains(t, s.out, `"Key":"limits.sockets"`)

	// One operator rolls; another is told, asks for a pause, and goes on with it.
	rolling := make(chan said, 1)
	go func() { rolling <- r.fleet("ayla", "roll", "winter", "--trace", "spans.json", "--json") }()
	for late := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		require.True(t, time.Now().Before(late), "the rollout does not begin")
		claim := r.fleet("mehmet", "claim", "--json").last(t)
		if claim["held"] == true && strings.HasPrefix(claim["holder"].(string), "ayla/") {
			break
		}
	}
	s = r.fleet("mehmet", "roll", "autumn", "--json")
	assert.Equal(t, 3, s.status, s.err)
	assert.Contains(t, s.err, "ayla/")
	assert.Contains(t, s.err, "holds the claim")
	s = r.fleet("mehmet", "pause")
	assert.Zero(t, s.status, s.err)
	first := <-rolling
	assert.Zero(t, first.status, "it was asked to: %s", first.err)
	assert.Equal(t, "paused", first.last(t)["outcome"])
	s = r.fleet("mehmet", "roll", "autumn")
	assert.Equal(t, 3, s.status)
	assert.Contains(t, s.err, "resume, abort or roll it back first")
	s = r.fleet("mehmet", "resume", "--json")
	require.Zero(t, s.status, s.err)
	assert.Equal(t, "complete", s.last(t)["outcome"])
	s = r.fleet("mehmet", "rollback", "--json")
	assert.Zero(t, s.status, s.err)
	assert.Equal(t, "rolled back", s.last(t)["outcome"])
	s = r.fleet("ayla", "history", "--json")
	assert.Len(t, s.last(t)["revisions"], 2)
	assert.Len(t, s.last(t)["rollouts"], 2)
	spans, err := os.ReadFile(filepath.Join(r.dir, "spans.json"))
	require.NoError(t, err)
	assert.Contains(t, string(spans), `"Name":"step"`)

	// An agent that is gone pauses a rollout, and a script sees it.
	_ = r.agents[1].Process.Kill()
	s = r.fleet("ayla", "roll", "winter", "--json")
	assert.Equal(t, 4, s.status)
	assert.Equal(t, "paused", s.last(t)["outcome"])
	assert.Contains(t, s.err, "agent a1 of instance n1 is not heard from")
	assert.Zero(t, r.fleet("ayla", "abort").status)
	assert.Equal(t, 3, r.fleet("ayla", "resume").status)
	assert.Contains(t, r.fleet("ayla", "status").out, "aborted")
}

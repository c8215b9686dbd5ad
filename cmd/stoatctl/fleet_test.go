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
	"stoatdale.example/stoatdale/internal/lab/testserver"
)

// testFleet is a folder with keys, a fleet file of three agents and the documents of two revisions, and the agents'
// processes.
type testFleet struct {
	t      *testing.T
	dir    string
	agents []*exec.Cmd
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, dir: t.TempDir()}
	text := "(name t) (floor 2) (hall h (floor 2)) (times (soak 200ms) (fresh 1s) (contact 2s) (claim 2s) (look 50ms) (ready 3s) (grace 100ms))\n"
	for i := range 3 {
		text += fmt.Sprintf("(agent a%d (listen %s) (hall h) (folder a%d) (program %q))\n(instance n%d (agent a%d) (listen %s))\n",
			i, testserver.Host()+":7400", i, filepath.Join(programFolder, "stoatdale"), i, i, testserver.Host()+":5432")
	}
	f.write("fleet.sexp", text)
	f.must("keys", "init", "t")
	f.must("keys", "issue", "operator", "ayla", "mehmet")
	f.must("keys", "issue", "agent", "--fleet", "fleet.sexp")
	for name, sockets := range map[string]int{"a": 100, "b": 101} {
		f.write(name+".json", string(testserver.JSON(testserver.Deployment("127.0.0.1:9", 0.2,
			map[string]any{"limits": map[string]any{"memory_mb": 32, "sockets": sockets}}))))
	}
	return f
}

func (f *testFleet) write(name, text string) {
	require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600))
}

// must runs a command and requires that it exits with 0.
func (f *testFleet) must(args ...string) {
	f.t.Helper()
	got := run(f.t, f.dir, args...)
	require.Zero(f.t, got.exitCode, "%v: %s", args, got.stderr)
}

// as runs a fleet command as the named operator.
func (f *testFleet) as(operator string, args ...string) result {
	f.t.Helper()
	return run(f.t, f.dir, append([]string{"fleet", "--fleet", "fleet.sexp", "--as", operator}, args...)...)
}

// start starts the agents and waits until all of them reply. They and their routers are killed when the test ends.
func (f *testFleet) start() {
	for i := range 3 {
		cmd := exec.Command(stoatctl(), "agent", "--fleet", "fleet.sexp", "--name", fmt.Sprint("a", i))
		cmd.Dir = f.dir
		require.NoError(f.t, cmd.Start())
		f.agents = append(f.agents, cmd)
	}
	f.t.Cleanup(func() {
		for _, cmd := range f.agents {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		for n := 1; n > 0; time.Sleep(5 * time.Millisecond) {
			n, _ = agent.KillRouters(f.dir)
		}
	})
	waitFor(f.t, 20*time.Millisecond, func() bool { return f.as("ayla", "status").exitCode == 0 }, "agents do not come up")
}

// expectOutcome checks the exit code and the reported outcome of a command that ran a rollout.
func (f *testFleet) expectOutcome(got result, exitCode int, outcome string) {
	f.t.Helper()
	require.Equal(f.t, exitCode, got.exitCode, got.stderr)
	assert.Equal(f.t, outcome, got.lastJSON(f.t)["outcome"])
}

func TestFleetCommandsOfTwoOperators(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	got := f.as("ayla", "status")
	assert.Equal(t, 1, got.exitCode, "no agent runs")
	assert.Contains(t, got.stderr, "agent a0: it cannot be reached")
	f.start()
	f.rollOutAndCompare()
	f.pauseAndResumeFromAnotherOperator()
	f.rollBackAndListHistory()
	f.rollWithoutAnAgent()
}

// rollOutAndCompare rolls a revision out and compares a second one with it.
func (f *testFleet) rollOutAndCompare() {
	t := f.t
	got := f.as("ayla", "push", "a.json", "--name", "autumn", "--json")
	require.Zero(t, got.exitCode, got.stderr)
	assert.EqualValues(t, 3, got.lastJSON(t)["kept"])
	assert.Equal(t, 1, f.as("ayla", "roll", "winter").exitCode)
	f.expectOutcome(f.as("ayla", "roll", "autumn", "--json"), 0, "complete")
	require.Zero(t, f.as("mehmet", "push", "b.json", "--name", "winter").exitCode)
	got = f.as("ayla", "diff", "b.json")
	assert.Contains(t, got.stdout, "limits.sockets: 100 -> 101")
	assert.Contains(t, got.stdout, "n0: restart limits")
	got = f.as("ayla", "diff", "autumn", "winter", "--json")
	assert.Contains(t, got.stdout, `"Key":"limits.sockets"`)
}

// pauseAndResumeFromAnotherOperator begins a rollout as one operator. A second operator's rollout is rejected, since the
// first holds the lease; the second operator then pauses the first rollout and resumes it.
func (f *testFleet) pauseAndResumeFromAnotherOperator() {
	t := f.t
	rolling := make(chan result, 1)
	go func() { rolling <- f.as("ayla", "roll", "winter", "--trace", "spans.json", "--json") }()
	waitFor(t, 10*time.Millisecond, func() bool {
		lease := f.as("mehmet", "claim", "--json").lastJSON(t)
		return lease["held"] == true && strings.HasPrefix(lease["holder"].(string), "ayla/")
	}, "the rollout does not begin")
	got := f.as("mehmet", "roll", "autumn", "--json")
	assert.Equal(t, 3, got.exitCode, got.stderr)
	assert.Contains(t, got.stderr, "ayla/")
	assert.Contains(t, got.stderr, "holds the claim")
	got = f.as("mehmet", "pause")
	assert.Zero(t, got.exitCode, got.stderr)
	first := <-rolling
	assert.Zero(t, first.exitCode, "a requested pause is no failure: %s", first.stderr)
	assert.Equal(t, "paused", first.lastJSON(t)["outcome"])
	got = f.as("mehmet", "roll", "autumn")
	assert.Equal(t, 3, got.exitCode)
	assert.Contains(t, got.stderr, "resume, abort or roll it back first")
	f.expectOutcome(f.as("mehmet", "resume", "--json"), 0, "complete")
}

// rollBackAndListHistory rolls the newest rollout back, and checks the stored history and the trace of spans.
func (f *testFleet) rollBackAndListHistory() {
	t := f.t
	f.expectOutcome(f.as("mehmet", "rollback", "--json"), 0, "rolled back")
	got := f.as("ayla", "history", "--json")
	assert.Len(t, got.lastJSON(t)["revisions"], 2)
	assert.Len(t, got.lastJSON(t)["rollouts"], 2)
	spans, err := os.ReadFile(filepath.Join(f.dir, "spans.json"))
	require.NoError(t, err)
	assert.Contains(t, string(spans), `"Name":"step"`)
}

// rollWithoutAnAgent kills an agent. The next rollout pauses, which a script can tell by the exit code.
func (f *testFleet) rollWithoutAnAgent() {
	t := f.t
	_ = f.agents[1].Process.Kill()
	got := f.as("ayla", "roll", "winter", "--json")
	f.expectOutcome(got, 4, "paused")
	assert.Contains(t, got.stderr, "agent a1 of instance n1 is not heard from")
	assert.Zero(t, f.as("ayla", "abort").exitCode)
	assert.Equal(t, 3, f.as("ayla", "resume").exitCode)
	assert.Contains(t, f.as("ayla", "status").stdout, "aborted")
}

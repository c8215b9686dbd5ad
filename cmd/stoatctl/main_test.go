package main

import (
	"bytes"
	"encoding/json"
	"errors"
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

// patience ends a test that hangs; no test that passes waits for it.
const patience = 60 * time.Second

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "stoatctl")
	if err != nil {
		panic(err)
	}
	bin = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", ".", "../stoatdale").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// said is how a command ended.
type said struct {
	status   int
	out, err string
}

func run(t *testing.T, dir string, args ...string) said {
	t.Helper()
	cmd := exec.Command(filepath.Join(bin, "stoatctl"), args...)
	var out, errs bytes.Buffer
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return said{cmd.ProcessState.ExitCode(), out.String(), errs.String()}
}

// last is the last line of standard output as an object.
func (s said) last(t *testing.T) map[string]any {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(s.out), "\n")
	var v map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &v), "%s\n%s", s.out, s.err)
	return v
}

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

func TestWrongUseAndFilesAreToldApart(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.write("bad.sexp", "(name t)\n(florr 2)")
	r.write("tight.sexp", `(name t) (floor 1) (hall h (floor 1)) (agent a (listen 127.0.0.1:1) (hall h) (folder a) (program p))
		(instance n (agent a) (listen 127.0.0.1:2))`)
	r.write("bad.json", `{"discovery":"x", "settings":{}}`)
	for _, x := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"fleet", "check", "fleet.sexp", "a.json"}, 0, ""},
		{[]string{"fleet", "check", "bad.sexp"}, 2, `bad.sexp:2:2: the file has no key "florr"; did you mean floor?`},
		{[]string{"fleet", "check", "none.sexp"}, 2, "none.sexp"},
		{[]string{"fleet", "check", "fleet.sexp", "bad.json"}, 2, "bad.json: instance n0: discovery:"},
		{[]string{"fleet", "check", "tight.sexp"}, 3, "hall h would be left with 0 serving, and its floor is 1"},
		{[]string{"fleet", "chekc"}, 2, `unknown command "chekc" for stoatctl fleet; did you mean check?`},
		{[]string{"flete"}, 2, "Did you mean this?"},
		{[]string{"fleet", "check"}, 2, "accepts between 1 and 2 arg(s)"},
		{[]string{"fleet", "status", "--florr"}, 2, "unknown flag"},
		{[]string{"fleet", "status", "--as", "nobody", "--fleet", "fleet.sexp"}, 2, "operator nobody"},
		{[]string{"fleet", "resume", "--as", "ayla", "--fleet", "fleet.sexp", "--leave-out", "n9"}, 2, "there is no instance n9"},
		{[]string{"agent", "--fleet", "fleet.sexp", "--name", "a9"}, 2, `no agent "a9"`},
		{[]string{"agent", "--fleet", "fleet.sexp", "--name", "a1", "--keys", "none"}, 1, "agent a1: own certificate"},
		{[]string{"keys", "init", "t"}, 3, "holds certificates already"},
		{[]string{"keys", "issue", "king", "x"}, 1, "the role is agent or operator"},
		{[]string{"keys", "show", "--warn", "4000"}, 1, "runs out on"},
		{[]string{"drill", "claims", "--break", "x"}, 2, `there is no fault "x"`},
		{[]string{"drill", "rollout", "--instances", "1"}, 2, "--instances is 3 to 200"},
		{[]string{"--log", "loud", "version"}, 2, "--log"},
		{[]string{"version", "--json"}, 0, ""},
	} {
		s := run(t, r.dir, x.args...)
		assert.Equal(t, x.status, s.status, "%v: %s", x.args, s.err)
		assert.Contains(t, s.err, x.says, "%v", x.args)
	}
}

func TestDrillOfARollout(t *testing.T) {
	t.Parallel()
	s := run(t, t.TempDir(), "drill", "rollout", "--instances", "4", "--kill-agent", "--seed", "1", "--json")
	r := s.last(t)
	assert.Zero(t, s.status, s.err)
	assert.Equal(t, true, r["ok"], s.err)
	assert.EqualValues(t, 0, r["lost"])
	assert.Equal(t, true, r["consistent"])
	assert.EqualValues(t, 4, r["done"])
	assert.GreaterOrEqual(t, r["least_serving"], 3.0)
}

func TestDrillTellsTheFaultThatWasPutIn(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"kill-router", "stray"} {
		s := run(t, t.TempDir(), "drill", "rollout", "--instances", "4", "--break", fault, "--seed", "1", "--json")
		assert.Equal(t, 1, s.status, "%s: %s", fault, s.out)
		assert.Equal(t, false, s.last(t)["ok"])
		assert.NotEmpty(t, s.last(t)["broken"])
	}
	s := run(t, t.TempDir(), "drill", "claims", "--rounds", "100", "--seed", "1", "--break", "forget", "--json")
	assert.Equal(t, 1, s.status)
	assert.Equal(t, false, s.last(t)["ok"])
	s = run(t, t.TempDir(), "drill", "claims", "--rounds", "20", "--seed", "1", "--json")
	assert.Zero(t, s.status)
	s = run(t, t.TempDir(), "drill", "sizes", "--instances", "20,60", "--rounds", "2", "--json")
	assert.Zero(t, s.status, s.err)
	assert.Len(t, s.last(t)["sizes"], 2)
}

func TestInterruptedDrillLeavesNothingBehind(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cmd := exec.Command(filepath.Join(bin, "stoatctl"), "drill", "rollout", "--instances", "3", "--seed", "1", "--keep", dir)
	require.NoError(t, cmd.Start())
	for late := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		require.True(t, time.Now().Before(late))
		if running, err := agent.RunningRouters(dir); err == nil && len(running) > 1 {
			break
		}
	}
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	assert.Error(t, cmd.Wait())
	running, err := agent.RunningRouters(dir)
	require.NoError(t, err)
	assert.Empty(t, running)
}

func TestExploringFromTheCommandLine(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("small.sexp", "(bounds command (members 2) (commands order) (ticks 2))\n(bounds watch (ticks 1) (faults 1) (depth 9))")
	write("few.sexp", "(bounds command (members 2) (commands order) (ticks 2) (states 10))")
	write("more.sexp", "(bounds command (members 2) (commands order) (ticks 2) (states 100000))")
	s := run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--json")
	require.Zero(t, s.status, s.err)
	whole := s.last(t)
	assert.Equal(t, true, whole["complete"])
	s = run(t, dir, "explore", "run", "command", "--bounds", "few.sexp", "--stop", "stopped")
	assert.Equal(t, 4, s.status, s.err)
	s = run(t, dir, "explore", "run", "command", "--bounds", "more.sexp", "--resume", "stopped", "--json")
	require.Zero(t, s.status, s.err)
	assert.Equal(t, whole["states"], s.last(t)["states"], "taken up, it sees the same")
	assert.Zero(t, run(t, dir, "explore", "run", "watch", "--bounds", "small.sexp", "--deep").status)
	assert.Equal(t, 2, run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--deep").status)
	s = run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--inject", "held-back", "--trace", "t.json")
	assert.Zero(t, s.status, "it takes five ticks: %s", s.err)
	s = run(t, dir, "explore", "inject", "early-byte", "--keep", dir, "--json")
	require.Zero(t, s.status, s.err)
	assert.Equal(t, true, s.last(t)["ok"])
	trace := "command-early-byte.json"
	s = run(t, dir, "explore", "show", trace, "--svg", "t.svg")
	assert.Zero(t, s.status, s.err)
	assert.Contains(t, s.out, "take 0")
	svg, err := os.ReadFile(filepath.Join(dir, "t.svg"))
	require.NoError(t, err)
	assert.Contains(t, string(svg), "order 0")
	assert.Equal(t, 1, run(t, dir, "explore", "replay", trace).status, "while it breaks")
	assert.Zero(t, run(t, dir, "explore", "walk", "command", "--bounds", "small.sexp", "--walks", "50", "--seed", "1").status)
	assert.Equal(t, 1, run(t, dir, "explore", "walk", "watch", "--bounds", "small.sexp", "--inject", "unclosed", "--walks", "500", "--seed", "1").status)
	assert.Contains(t, run(t, dir, "explore", "list").out, "drain-overlooked")
	write("broken", "no exploration")
	for _, args := range [][]string{
		{"run", "moon"},
		{"run", "command", "--bounds", "none"},
		{"run", "command", "--bounds", "small.sexp", "--inject", "x"},
		{"inject"},
		{"inject", "nothing"},
		{"show", "none"},
		{"run", "command", "--bounds", "small.sexp", "--resume", "broken"},
		{"run", "watch", "--bounds", "small.sexp", "--resume", "stopped"},
	} {
		s := run(t, dir, append([]string{"explore"}, args...)...)
		assert.Equal(t, 2, s.status, "%v: %s", args, s.err)
	}
}

func TestLabFromTheCommandLine(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	text, err := os.ReadFile("../../deploy/lab/smoke.sexp")
	require.NoError(t, err)
	short := strings.Replace(strings.Replace(string(text), "(seconds 30s)", "(seconds 12s)", 1), "(policies ceiling module window least two-choices round-robin any primary)",
		"(policies module any)", 1)
	short = short[:strings.Index(short, "(fault crash")]
	require.NoError(t, os.WriteFile(filepath.Join(dir, "short.sexp"), []byte(short), 0o600))
	s := run(t, dir, "lab", "run", "short.sexp", "--out", "one", "--json", "--workers", "1")
	require.Zero(t, s.status, s.err)
	assert.Contains(t, s.out, `"policy":"module"`)
	s = run(t, dir, "lab", "run", "short.sexp", "--out", "two")
	require.Zero(t, s.status, s.err)
	assert.Contains(t, s.out, "older than its session's own writes", "a policy that reads anywhere is told to break a rule, and that is no failure")
	one, err := os.ReadFile(filepath.Join(dir, "one", "runs.json"))
	require.NoError(t, err)
	two, err := os.ReadFile(filepath.Join(dir, "two", "runs.json"))
	require.NoError(t, err)
	assert.Equal(t, string(one), string(two), "the same seeds, the same bytes")
	page, err := os.ReadFile(filepath.Join(dir, "one", "report.html"))
	require.NoError(t, err)
	require.NoError(t, os.Remove(filepath.Join(dir, "one", "report.html")))
	require.Zero(t, run(t, dir, "lab", "report", "one").status)
	anew, err := os.ReadFile(filepath.Join(dir, "one", "report.html"))
	require.NoError(t, err)
	assert.Equal(t, string(page), string(anew))
	s = run(t, dir, "lab", "compare", "one", "two", "--json")
	require.Zero(t, s.status, s.err)
	assert.Contains(t, s.out, `"pairs":2`)
	assert.Contains(t, s.out, `"difference":0,`)
	kept, err := os.ReadFile(filepath.Join(dir, "one", "experiment.sexp"))
	require.NoError(t, err)
	assert.Equal(t, short, string(kept))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "bad.sexp"), []byte(strings.Replace(short, "(sets 2)", "(sets 0)", 1)), 0o600))
	s = run(t, dir, "lab", "run", "bad.sexp")
	assert.Equal(t, 2, s.status)
	assert.Contains(t, s.err, "bad.sexp:6:1: sets is 0")
}

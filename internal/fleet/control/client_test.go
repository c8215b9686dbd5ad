package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/fleet/api"
	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/lab/testserver"
	"stoatdale.example/stoatdale/internal/pki"
)

// testTimeout ends a test that hangs. A test that passes never waits for it.
const testTimeout = 60 * time.Second

// TestMain runs the tests. If an agent has started this program, TestMain runs a stand-in router instead.
func TestMain(m *testing.M) {
	if os.Getenv("STOATDALE_MARK") != "" {
		testserver.Router()
	}
	goleak.VerifyTestMain(m)
}

// testHarness is a fleet of agents in this process that start stand-in routers. Clients call the agents over TLS.
type testHarness struct {
	t         *testing.T
	fleet     *inventory.Fleet
	keys      pki.Folder
	stopFuncs []func() // by agent; nil while the agent is stopped
}

// newHarness starts n agents with one instance each. All instances are in one zone, and all but one must serve.
func newHarness(t *testing.T, n int) *testHarness {
	dir := t.TempDir()
	fleetFile := fmt.Sprintf("(name t) (floor %d) (hall h (floor 1)) (times (soak 200ms) (fresh 1s) (contact 2s) (step 20s) (claim 2s) (look 50ms) (ready 2s) (grace 100ms))\n", n-1)
	for i := range n {
		fleetFile += fmt.Sprintf("(agent a%d (listen %s) (hall h) (folder %q) (program %q))\n(instance n%d (agent a%d) (listen %s))\n",
			i, testserver.Host()+":7400", filepath.Join(dir, fmt.Sprint("a", i)), os.Args[0], i, i, testserver.Host()+":5432")
	}
	f, err := inventory.Parse("f", []byte(fleetFile))
	require.NoError(t, err)
	harness := &testHarness{t: t, fleet: f, keys: pki.Folder(filepath.Join(dir, "keys")), stopFuncs: make([]func(), n)}
	require.NoError(t, harness.keys.CreateAuthority("t", time.Hour, time.Now()))
	for _, o := range []string{"ayla", "mehmet"} {
		require.NoError(t, harness.keys.Issue(pki.Operator, o, time.Minute, time.Now()))
	}
	for i := range n {
		require.NoError(t, harness.keys.Issue(pki.Agent, fmt.Sprint("a", i), time.Minute, time.Now()))
		harness.startAgent(i)
	}
	t.Cleanup(func() {
		for _, end := range harness.stopFuncs {
			if end != nil {
				end()
			}
		}
		for running := 1; running > 0; time.Sleep(5 * time.Millisecond) {
			var err error
			running, err = agent.KillRouters(dir)
			require.NoError(t, err)
		}
	})
	return harness
}

// startAgent starts an agent. Stopping the agent has the effect of a kill: its routers go on and the agent saves nothing.
func (h *testHarness) startAgent(i int) {
	entry := &h.fleet.Agents[i]
	store, err := agent.OpenStore(entry)
	require.NoError(h.t, err)
	a, err := agent.New(h.fleet, entry.Name, "test", store, zerolog.New(io.Discard))
	require.NoError(h.t, err)
	l, err := net.Listen("tcp", entry.Listen.String())
	require.NoError(h.t, err)
	server := api.NewServer(l, a, h.keys.Credentials(pki.Agent, entry.Name), api.SupportedVersions, zerolog.New(io.Discard))
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); _ = server.Serve() }()
	go func() { defer done.Done(); a.Run(ctx) }()
	h.stopFuncs[i] = func() { server.Close(); cancel(); done.Wait(); _ = store.Close() }
}

func (h *testHarness) stopAgent(i int) { h.stopFuncs[i](); h.stopFuncs[i] = nil }

// client returns a new client of an operator.
func (h *testHarness) client(operator string) *Client {
	client, err := New(h.fleet, h.keys, operator)
	require.NoError(h.t, err)
	h.t.Cleanup(client.Close)
	return client
}

// push pushes a revision with which routers behave as conduct says. A different number of sockets makes it a different
// revision.
func (h *testHarness) push(client *Client, name string, conduct testserver.Conduct, sockets int) protocol.Revision {
	h.t.Helper()
	doc := testserver.Deployment("127.0.0.1:9", 0.1, map[string]any{"stand": conduct, "limits": map[string]any{"sockets": sockets}})
	file := filepath.Join(h.t.TempDir(), name+".json")
	require.NoError(h.t, os.WriteFile(file, testserver.JSON(doc), 0o600))
	content, err := client.ReadRevision(file)
	require.NoError(h.t, err)
	p := client.PushRevision(context.Background(), content, name)
	require.Empty(h.t, p.Missing)
	return protocol.Revision{Digest: p.Digest, Name: name}
}

// drive carries out a task until it ends or testTimeout has passed.
func (h *testHarness) drive(client *Client, task coordinator.Task, watch func(coordinator.View, []coordinator.Event)) coordinator.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return client.Drive(ctx, task, watch)
}

// requireComplete requires that a rollout has completed: all instances run its revision.
func (h *testHarness) requireComplete(o coordinator.Outcome) {
	h.t.Helper()
	require.Equal(h.t, coordinator.OutcomeEnded, o.Kind, "%v", o)
	require.Equal(h.t, rollout.Complete, o.Rollout.State, "%v", o)
}

// assertAllRun asserts that all instances run the revision with a digest and are ready.
func (h *testHarness) assertAllRun(client *Client, digest string) {
	h.t.Helper()
	status := client.Status(context.Background())
	for _, instance := range status.Instances {
		assert.Equal(h.t, revision.ShortDigest(digest), instance.Revision, instance.Name)
		assert.Equal(h.t, "ready", instance.State, instance.Name)
	}
}

func TestFailingRolloutRollsBackToThePreviousRevision(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, 3)
	ayla := harness.client("ayla")
	good := harness.push(ayla, "good", testserver.Conduct{}, 100)
	harness.requireComplete(harness.drive(ayla, ayla.NewRollout(good, false), nil))
	time.Sleep(1200 * time.Millisecond) // agents read the counters once a second
	for name, c := range map[string]struct {
		conduct testserver.Conduct
		message string
	}{
		"exits":  {testserver.Conduct{Exit: 7}, "it ended with status 7: stand-in: told to end"},
		"silent": {testserver.Conduct{Silent: true}, "it was not ready within 2 s"},
		"fails":  {testserver.Conduct{Fails: true}, "commands unanswered in its soak, a larger share than before"},
	} {
		if name == "fails" {
			harness.fleet.Times.Soak = 2 // long enough for the agent to read the counters
		}
		o := harness.drive(ayla, ayla.NewRollout(harness.push(ayla, name, c.conduct, 100), true), nil)
		assert.Equal(t, rollout.RolledBack, o.Rollout.State, name)
		assert.Contains(t, ayla.Explain(o.Reason), c.message)
		assert.Contains(t, ayla.Explain(o.Reason), "instance n0")
		harness.assertAllRun(ayla, good.Digest)
		harness.fleet.Times.Soak = 0.2
	}
	file := filepath.Join(t.TempDir(), "x.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"discovery":"nowhere"}`), 0o600))
	_, err := ayla.ReadRevision(file)
	assert.ErrorContains(t, err, "x.json: instance n0: discovery:", "the file is rejected before any agent is called")
}

func TestAnotherClientResumesAnInterruptedRollout(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, 4)
	ayla, mehmet := harness.client("ayla"), harness.client("mehmet")
	a := harness.push(ayla, "a", testserver.Conduct{}, 100)
	harness.requireComplete(harness.drive(ayla, ayla.NewRollout(a, false), nil))
	b := harness.push(ayla, "b", testserver.Conduct{Ready: 0.2}, 101)
	ctx, kill := context.WithCancel(context.Background())
	began := 0
	o := ayla.Drive(ctx, ayla.NewRollout(b, false), func(_ coordinator.View, events []coordinator.Event) {
		for _, e := range events {
			if e.Action == rollout.ActionBeginStep {
				if began++; began == 2 {
					kill()
				}
			}
		}
	})
	require.Equal(t, coordinator.OutcomeInterrupted, o.Kind)
	status := mehmet.Status(context.Background())
	require.NotNil(t, status.Rollout)
	assert.Equal(t, "running", status.Rollout.State)
	assert.Equal(t, "ayla", status.Rollout.StartedBy)
	assert.Equal(t, coordinator.OutcomeUnfinishedRollout, harness.drive(mehmet, mehmet.NewRollout(a, false), nil).Kind)
	steps := 0
	o = harness.drive(mehmet, coordinator.Task{Operation: coordinator.OperationResume, Operator: "mehmet"}, func(_ coordinator.View, events []coordinator.Event) {
		for _, e := range events {
			if e.Action == rollout.ActionBeginStep {
				steps++
			}
		}
	})
	harness.requireComplete(o)
	assert.LessOrEqual(t, steps, 3, "it continues where the other client stopped")
	harness.assertAllRun(mehmet, b.Digest)
	o = harness.drive(mehmet, coordinator.Task{Operation: coordinator.OperationRollback, Operator: "mehmet"}, nil)
	assert.Equal(t, rollout.RolledBack, o.Rollout.State)
	harness.assertAllRun(mehmet, a.Digest)
	history, err := ayla.History(context.Background())
	require.NoError(t, err)
	assert.Len(t, history.Revisions, 2)
	assert.Len(t, history.Rollouts, 2)
}

func TestOneOfTwoOperatorsRollsOutAndTheOtherIsDenied(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, 4)
	ayla, mehmet := harness.client("ayla"), harness.client("mehmet")
	a, b := harness.push(ayla, "a", testserver.Conduct{}, 100), harness.push(mehmet, "b", testserver.Conduct{}, 101)
	var outcomes [2]coordinator.Outcome
	var drives sync.WaitGroup
	for i, operator := range []struct {
		client   *Client
		revision protocol.Revision
	}{{ayla, a}, {mehmet, b}} {
		drives.Add(1)
		go func() {
			defer drives.Done()
			outcomes[i] = harness.drive(operator.client, operator.client.NewRollout(operator.revision, false), nil)
		}()
	}
	drives.Wait()
	won := -1
	for i, o := range outcomes {
		if o.Kind == coordinator.OutcomeEnded && o.Rollout.State == rollout.Complete {
			assert.Equal(t, -1, won, "both rollouts completed")
			won = i
		}
	}
	require.NotEqual(t, -1, won, "%v", outcomes)
	loser := outcomes[1-won]
	assert.Equal(t, coordinator.OutcomeLeaseHeld, loser.Kind)
	assert.True(t, strings.HasPrefix(loser.Holder.Holder, []string{"ayla/", "mehmet/"}[won]), loser.Holder.Holder)
	harness.assertAllRun(ayla, []protocol.Revision{a, b}[won].Digest)
}

func TestRequestedPauseIsFollowedAndUnreachableAgentIsLeftOut(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, 4)
	harness.fleet.MinAvailable = 2
	ayla, mehmet := harness.client("ayla"), harness.client("mehmet")
	a := harness.push(ayla, "a", testserver.Conduct{}, 100)
	harness.requireComplete(harness.drive(ayla, ayla.NewRollout(a, false), nil))
	b := harness.push(ayla, "b", testserver.Conduct{Ready: 0.3}, 101)
	requested := false
	o := harness.drive(ayla, ayla.NewRollout(b, false), func(v coordinator.View, _ []coordinator.Event) {
		if !requested && v.Rollout.CurrentStep.Number == 1 {
			requested = true
			assert.Equal(t, 4, mehmet.RequestAction(context.Background(), v.Rollout, rollout.RequestPause))
		}
	})
	assert.Equal(t, rollout.Paused, o.Rollout.State)
	assert.Equal(t, "mehmet", o.Rollout.RequestedBy)
	harness.stopAgent(3)
	o = harness.drive(mehmet, coordinator.Task{Operation: coordinator.OperationResume, Operator: "mehmet"}, nil)
	assert.Equal(t, rollout.Paused, o.Rollout.State)
	assert.Contains(t, mehmet.Explain(o.Reason), "agent a3 of instance n3 is not heard from")
	o = harness.drive(mehmet, coordinator.Task{Operation: coordinator.OperationResume, Operator: "mehmet", ExcludedInstances: []int{3}}, nil)
	assert.Equal(t, "1 instances were left out and have not been changed", mehmet.Explain(o.Reason))
	harness.startAgent(3)
	harness.requireComplete(harness.drive(ayla, coordinator.Task{Operation: coordinator.OperationResume, Operator: "ayla"}, nil))
	harness.assertAllRun(ayla, b.Digest)
}

func TestPreviewFindAndTrace(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, 3)
	ayla := harness.client("ayla")
	a := harness.push(ayla, "a", testserver.Conduct{}, 100)
	effects := func(sockets int, discovery string) []RevisionEffect {
		doc := testserver.Deployment(discovery, 0.1, map[string]any{"stand": testserver.Conduct{}, "limits": map[string]any{"sockets": sockets}})
		content, err := revision.Canonical("f", testserver.JSON(doc))
		require.NoError(t, err)
		effects, err := ayla.PreviewEffects(context.Background(), content)
		require.NoError(t, err)
		return effects
	}
	assert.Equal(t, RevisionEffect{Instance: "n0", Change: "start"}, effects(100, "127.0.0.1:9")[0])
	harness.requireComplete(harness.drive(ayla, ayla.NewRollout(a, false), nil))
	assert.Equal(t, RevisionEffect{Instance: "n0", Change: "none"}, effects(100, "127.0.0.1:9")[0])
	assert.Equal(t, RevisionEffect{Instance: "n1", Change: "reload"}, effects(100, "127.0.0.1:10")[1])
	assert.Equal(t, RevisionEffect{Instance: "n2", Change: "restart", Keys: []string{"limits"}}, effects(101, "127.0.0.1:9")[2])
	found, err := ayla.FindRevision(context.Background(), a.Digest[:6])
	require.NoError(t, err)
	assert.Equal(t, a.Digest, found.Digest)
	_, err = ayla.FindRevision(context.Background(), "nothing")
	require.ErrorContains(t, err, `no agent has stored a revision "nothing"`)
	var missing *RevisionNotFoundError
	require.ErrorAs(t, err, &missing)
	assert.Equal(t, "nothing", missing.NameOrDigest)
	_, err = New(harness.fleet, harness.keys, "nobody")
	require.ErrorContains(t, err, "operator nobody:")
	path := filepath.Join(t.TempDir(), "spans")
	spans, err := ayla.NewTrace(path)
	require.NoError(t, err)
	o := harness.drive(ayla, ayla.NewRollout(a, true), spans.Record)
	harness.requireComplete(o)
	require.NoError(t, spans.Close(o))
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, 3, strings.Count(string(raw), `"Name":"step"`))
	assert.Equal(t, 1, strings.Count(string(raw), `"Name":"rollout"`))
}

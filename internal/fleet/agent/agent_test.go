package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/store"
	"stoatdale.example/stoatdale/internal/lab/testserver"
)

// testTimeout limits each wait of a test, so that a hanging test fails. A test that passes never waits this long.
const testTimeout = 20 * time.Second

// TestMain runs the tests. In a process that an agent started, it runs the stand-in router instead.
func TestMain(m *testing.M) {
	if os.Getenv(incarnationVariable) != "" {
		testserver.Router()
	}
	goleak.VerifyTestMain(m)
}

// faultyStore is a store that can simulate a full disk.
type faultyStore struct {
	*store.Store
	full atomic.Bool
}

func (f *faultyStore) Save(c store.Change) error {
	if f.full.Load() {
		return errors.New("store: no space left on device")
	}
	return f.Store.Save(c)
}

// testHarness runs an agent with one instance in the test process. A test can end the agent and start it again.
type testHarness struct {
	t          *testing.T
	fleet      *inventory.Fleet
	folder     string
	agent      *Agent
	store      *faultyStore
	stop       func() // ends the agent and waits until it has ended
	stepNumber uint64 // number of the step that was begun last
}

// newHarness starts an agent without revisions and acquires its lease under epoch 1.
func newHarness(t *testing.T) *testHarness {
	dir := t.TempDir()
	text := fmt.Sprintf(`(name t) (floor 0) (times (ready 2s) (grace 200ms)) (hall h (floor 0))
		(agent a (listen 127.0.0.1:1) (hall h) (folder %q) (program %q)) (instance n (agent a) (listen %s))`, dir, os.Args[0], testserver.Host()+":5432")
	f, err := inventory.Parse("f", []byte(text))
	require.NoError(t, err)
	harness := &testHarness{t: t, fleet: f, folder: dir}
	harness.start()
	t.Cleanup(func() {
		harness.stop()
		killRouters(t, dir)
	})
	harness.call(protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 1, Holder: "h", Takeover: true}})
	harness.waitFor("a known router state", func(instance protocol.InstanceStatus) bool { return instance.State != rollout.ProcessUnknown })
	return harness
}

// start opens the store in the agent's folder and starts the agent on it.
func (h *testHarness) start() {
	s, err := OpenStore(h.fleet.Agent("a"))
	require.NoError(h.t, err)
	h.store = &faultyStore{Store: s}
	h.agent, err = New(h.fleet, "a", "test", h.store, zerolog.New(io.Discard))
	require.NoError(h.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	agent := h.agent
	go func() { agent.Run(ctx); close(done) }()
	h.stop = func() { cancel(); <-done; _ = s.Close() }
}

// restart ends the agent as a kill would, without saving anything or changing a router, and starts it again.
func (h *testHarness) restart() {
	h.stop()
	h.start()
}

// call sends a request to the agent as the operator op.
func (h *testHarness) call(request protocol.Request) protocol.Reply {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	reply, err := h.agent.Handle(ctx, "op", request)
	require.NoError(h.t, err)
	return reply
}

// status returns the agent's report on its first instance.
func (h *testHarness) status() protocol.InstanceStatus {
	return h.call(protocol.Request{Verb: protocol.StatusVerb}).Instances[0]
}

// inEventLoop calls f in the agent's goroutine and waits for it.
func (h *testHarness) inEventLoop(f func()) {
	done := make(chan struct{})
	h.agent.post(context.Background(), func(context.Context) { f(); close(done) })
	<-done
}

// process returns the agent's handle of the router's process, or nil.
func (h *testHarness) process() *processHandle {
	var p *processHandle
	h.inEventLoop(func() { p = h.agent.routers[0].process })
	return p
}

// waitFor polls the instance's status until a condition holds. what describes the condition in the failure message.
func (h *testHarness) waitFor(what string, condition func(instance protocol.InstanceStatus) bool) protocol.InstanceStatus {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		status := h.status()
		if condition(status) {
			return status
		}
		if time.Now().After(deadline) {
			require.Fail(h.t, "timed out waiting for "+what, "%+v", status)
		}
	}
}

// push stores a revision at the agent and returns its digest. conduct is the behaviour of the stand-in router under the
// revision, and extraSettings holds further settings, which replace the defaults of the same keys.
func (h *testHarness) push(conduct testserver.Conduct, extraSettings map[string]any) string {
	h.t.Helper()
	if extraSettings == nil {
		extraSettings = map[string]any{}
	}
	extraSettings["stand"] = conduct
	raw, err := revision.Canonical("f", testserver.JSON(testserver.Deployment("127.0.0.1:9", 0.1, extraSettings)))
	require.NoError(h.t, err)
	digest := revision.Digest(raw)
	reply := h.call(protocol.Request{Verb: protocol.PutRevisionVerb, Revision: protocol.Revision{Digest: digest, Content: raw}})
	require.Empty(h.t, reply.Failure)
	return digest
}

// completeStep begins the next step and waits until it has a result.
func (h *testHarness) completeStep(digest string) protocol.InstanceStatus {
	h.t.Helper()
	failure := h.beginStep(digest)
	require.Empty(h.t, failure)
	return h.waitFor("the end of the step", func(instance protocol.InstanceStatus) bool {
		return instance.LastStep.Number == h.stepNumber && instance.LastResult != rollout.StepPending
	})
}

// beginStep begins the next step. It returns the reason why the step was not begun, or an empty string.
func (h *testHarness) beginStep(digest string) string {
	h.stepNumber++
	reply := h.call(protocol.Request{
		Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n",
		Step: rollout.Step{RolloutID: "r", Number: h.stepNumber, Revision: digest},
	})
	if reply.Denial != lease.Granted {
		return reply.Denial.String() + " " + reply.Failure
	}
	return reply.Failure
}

func ready(instance protocol.InstanceStatus) bool { return instance.State == rollout.ProcessReady }

func TestStepsStartRestartAndReloadRouters(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	a := harness.push(testserver.Conduct{}, nil)
	status := harness.completeStep(a)
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	first := status.ProcessID
	assert.NotZero(t, first)
	harness.waitFor("counters", func(instance protocol.InstanceStatus) bool { return instance.CommandsSinceStep.Completed >= 200 })
	b := harness.push(testserver.Conduct{}, map[string]any{"discovery": "127.0.0.1:10"})
	status = harness.completeStep(b)
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.Equal(t, first, status.ProcessID, "another discovery address needs only a reload by SIGHUP")
	c := harness.push(testserver.Conduct{Ready: 0.3}, map[string]any{"limits": map[string]any{"sockets": 300}})
	status = harness.completeStep(c)
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.NotEqual(t, first, status.ProcessID)
	raw, err := os.ReadFile(filepath.Join(harness.folder, "n", configName))
	require.NoError(t, err)
	assert.Contains(t, string(raw), `"sockets":300`)
}

func TestInvalidRevisionFailsItsStepAndThePreviousOneRunsAgain(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	good := harness.push(testserver.Conduct{}, nil)
	harness.completeStep(good)
	for failure, conduct := range map[string]testserver.Conduct{
		"it ended with status 3: stand-in: told to end": {Exit: 3},
		"it was not ready within 2 s":                   {Silent: true},
	} {
		status := harness.completeStep(harness.push(conduct, map[string]any{"limits": map[string]any{"sockets": 300}}))
		assert.Equal(t, rollout.StepFailed, status.LastResult)
		assert.Contains(t, status.LastFailure, failure)
		status = harness.completeStep(good)
		assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
		assert.Equal(t, rollout.ProcessReady, status.State)
	}
	assert.Contains(t, harness.completeStep(strings.Repeat("0", 32)).LastFailure, "is not stored at agent a: push it")
	reply := harness.call(protocol.Request{Verb: protocol.PutRevisionVerb, Revision: protocol.Revision{Digest: "x", Content: []byte(`{"discovery":"x"}`)}})
	assert.Contains(t, reply.Failure, "but was pushed as x")
	raw := []byte(`{"discovery":"x"}`)
	reply = harness.call(protocol.Request{Verb: protocol.PutRevisionVerb, Revision: protocol.Revision{Digest: revision.Digest(raw), Content: raw}})
	assert.Contains(t, reply.Failure, "instance n: discovery:", "the router's own parser rejects it")
}

// The agent is so busy that the process has already ended when the agent adopts it. The last line of the router's log must
// be part of the step's failure nevertheless.
func TestLastLogLineOfARouterThatExitsImmediatelyIsReported(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	require.Empty(t, harness.beginStep(harness.push(testserver.Conduct{Exit: 3}, nil)))
	var status protocol.InstanceStatus
	for deadline := time.Now().Add(testTimeout); status.LastResult == rollout.StepPending && time.Now().Before(deadline); {
		harness.inEventLoop(func() { time.Sleep(50 * time.Millisecond) })
		status = harness.status()
	}
	assert.Contains(t, status.LastFailure, "it ended with status 3: stand-in: told to end")
}

func TestRouterIsKilledAfterItsDrainTimeout(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	harness.completeStep(harness.push(testserver.Conduct{Deaf: true}, nil))
	began := time.Now()
	status := harness.completeStep(harness.push(testserver.Conduct{}, map[string]any{"limits": map[string]any{"sockets": 300}}))
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.GreaterOrEqual(t, time.Since(began), 1500*time.Millisecond, "the drain time is ten times the longest client timeout, 0.45 s and the grace")
	harness.completeStep(harness.push(testserver.Conduct{Drain: 0.7}, map[string]any{"limits": map[string]any{"sockets": 301}}))
	p := harness.process()
	status = harness.completeStep(harness.push(testserver.Conduct{}, nil))
	assert.Equal(t, rollout.StepSucceeded, status.LastResult)
	assert.NotEqual(t, p.pid, status.ProcessID)
}

func TestRestartedAgentAdoptsRunningRouter(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	status := harness.completeStep(harness.push(testserver.Conduct{}, nil))
	harness.restart()
	adopted := harness.waitFor("ready", ready)
	assert.Equal(t, status.ProcessID, adopted.ProcessID)
	p := harness.process()
	require.NoError(t, p.signal(unix.SIGKILL))
	after := harness.waitFor("a new process", func(instance protocol.InstanceStatus) bool {
		return ready(instance) && instance.ProcessID != status.ProcessID
	})
	assert.Equal(t, 1, after.Crashes)
	assert.NotEqual(t, lease.Granted, harness.call(protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 1, Holder: "other"}}).Denial,
		"the lease survives a restart of the agent")
}

func TestProcessWithoutIncarnationIsNotAdopted(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	status := harness.completeStep(harness.push(testserver.Conduct{}, nil))
	harness.stop()
	p, err := findRunning(harness.agent.routers[0].incarnation(1))
	require.NoError(t, err)
	require.Equal(t, status.ProcessID, p.pid)
	require.NoError(t, p.signal(unix.SIGKILL))
	for gone := false; !gone; gone, _ = p.exited() {
		time.Sleep(time.Millisecond)
	}
	p, err = findRunning(harness.agent.routers[0].incarnation(1))
	require.NoError(t, err)
	assert.Nil(t, p, "a router is identified only by its incarnation, and this process has none")
	harness.start()
	assert.NotEqual(t, status.ProcessID, harness.waitFor("ready", ready).ProcessID)
}

func TestRestartedAgentResolvesItsOpenStep(t *testing.T) {
	t.Parallel()
	for name, after := range map[string]time.Duration{
		"at once": 0, "in the drain": 200 * time.Millisecond,
		"before it is ready": 700 * time.Millisecond,
	} {
		harness := newHarness(t)
		harness.completeStep(harness.push(testserver.Conduct{Drain: 0.5}, nil))
		b := harness.push(testserver.Conduct{Ready: 0.5}, map[string]any{"limits": map[string]any{"sockets": 300}})
		require.Empty(t, harness.beginStep(b), name)
		time.Sleep(after)
		harness.restart()
		status := harness.waitFor("the end of the step", func(instance protocol.InstanceStatus) bool {
			return instance.LastResult != rollout.StepPending && ready(instance)
		})
		assert.NotEqual(t, rollout.StepFailed, status.LastResult, "%s: %s", name, status.LastFailure)
		if status.LastResult == rollout.StepSucceeded {
			assert.Equal(t, b, status.Revision, name)
		}
	}
}

func TestFullDiskRejectsTheStepAndChangesNothing(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	status := harness.completeStep(harness.push(testserver.Conduct{}, nil))
	b := harness.push(testserver.Conduct{}, map[string]any{"limits": map[string]any{"sockets": 300}})
	harness.store.full.Store(true)
	assert.Contains(t, harness.beginStep(b), "no space left")
	assert.Contains(t, harness.call(protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 9, Holder: "h"}}).Failure, "no space left")
	assert.Equal(t, status.ProcessID, harness.status().ProcessID)
	assert.EqualValues(t, 1, harness.call(protocol.Request{Verb: protocol.StatusVerb}).LeaseState.Epoch, "a lease that could not be stored is not granted")
	harness.store.full.Store(false)
	assert.Equal(t, rollout.StepSucceeded, harness.completeStep(b).LastResult)
}

func TestCrashLoopIsReported(t *testing.T) {
	t.Parallel()
	harness := newHarness(t)
	harness.inEventLoop(func() { harness.agent.limits.MinBackoffSeconds, harness.agent.limits.MaxCrashes = 0.01, 3 })
	status := harness.completeStep(harness.push(testserver.Conduct{LiveFor: 0.3}, nil))
	assert.Equal(t, rollout.StepSucceeded, status.LastResult)
	status = harness.waitFor("a crash loop", func(instance protocol.InstanceStatus) bool { return instance.State == rollout.ProcessCrashLooping })
	assert.Equal(t, 4, status.Crashes)
}

func TestLogIsReadByLinesAndRotated(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, []byte("old\n"), 0o600))
	tail := newLogTail(path, int64(len("old\n")))
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	var got []logEvent
	read := func(text string) {
		_, err := f.WriteString(text)
		require.NoError(t, err)
		require.NoError(t, tail.read(func(e logEvent) { got = append(got, e) }))
	}
	read(`{"message":"counters","counters":{"answered":5,"failed":1,"thr`)
	assert.Empty(t, got)
	read(`ottled":2,"bad_input":1}}` + "\n" + `{"message":"reloaded"}` + "\n" + `{"message":"reload refused","error":"no"}` + "\n")
	require.Len(t, got, 3)
	assert.Equal(t, rollout.CommandCounts{Completed: 9, Unanswered: 4}, *got[0].counts)
	assert.Empty(t, *got[1].reloadFailure)
	assert.Equal(t, "no", *got[2].reloadFailure)
	read("panic: something\n")
	assert.Equal(t, "panic: something", tail.lastError)
	for range 9 {
		read(strings.Repeat(strings.Repeat("x", 1023)+"\n", 1<<10))
	}
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Less(t, info.Size(), int64(maxLogBytes))
	read(`{"message":"reloaded"}` + "\n")
	assert.Len(t, got, 4, "reading continues from the start of the truncated log")
}

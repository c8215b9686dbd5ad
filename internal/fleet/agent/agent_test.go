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

// testTimeout limits the waits of a test that hangs. A test that passes never waits this long.
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

// rig runs an agent with one instance in the test process. A test can end the agent and start it again.
type rig struct {
	t          *testing.T
	fleet      *inventory.Fleet
	folder     string
	agent      *Agent
	store      *faultyStore
	stop       func() // ends the agent and waits until it has ended
	stepNumber uint64 // number of the step that was begun last
}

// newRig starts an agent without revisions and acquires its lease under epoch 1.
func newRig(t *testing.T) *rig {
	dir := t.TempDir()
	text := fmt.Sprintf(`(name t) (floor 0) (times (ready 2s) (grace 200ms)) (hall h (floor 0))
		(agent a (listen 127.0.0.1:1) (hall h) (folder %q) (program %q)) (instance n (agent a) (listen %s))`, dir, os.Args[0], testserver.Host()+":5432")
	f, err := inventory.Parse("f", []byte(text))
	require.NoError(t, err)
	r := &rig{t: t, fleet: f, folder: dir}
	r.start()
	t.Cleanup(func() {
		r.stop()
		killRouters(t, dir)
	})
	r.call(protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 1, Holder: "h", Takeover: true}})
	r.waitFor("a known router state", func(t protocol.InstanceStatus) bool { return t.State != rollout.ProcessUnknown })
	return r
}

// start starts the agent on the rig's store.
func (r *rig) start() {
	s, err := OpenStore(r.fleet.Agent("a"))
	require.NoError(r.t, err)
	r.store = &faultyStore{Store: s}
	r.agent, err = New(r.fleet, "a", "test", r.store, zerolog.New(io.Discard))
	require.NoError(r.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	agent := r.agent
	go func() { agent.Run(ctx); close(done) }()
	r.stop = func() { cancel(); <-done; _ = s.Close() }
}

// restart ends the agent as a kill would, without saving anything or changing a router, and starts it again.
func (r *rig) restart() {
	r.stop()
	r.start()
}

// call sends a request to the agent as the operator op.
func (r *rig) call(request protocol.Request) protocol.Reply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	reply, err := r.agent.Handle(ctx, "op", request)
	require.NoError(r.t, err)
	return reply
}

// status returns the agent's report on its first instance.
func (r *rig) status() protocol.InstanceStatus {
	return r.call(protocol.Request{Verb: protocol.StatusVerb}).Instances[0]
}

// inEventLoop calls f in the agent's goroutine and waits for it.
func (r *rig) inEventLoop(f func()) {
	done := make(chan struct{})
	r.agent.post(context.Background(), func(context.Context) { f(); close(done) })
	<-done
}

// process returns the agent's handle of the router's process, or nil.
func (r *rig) process() *processHandle {
	var p *processHandle
	r.inEventLoop(func() { p = r.agent.routers[0].process })
	return p
}

// waitFor polls the instance's status until a condition holds. what describes the condition in the failure message.
func (r *rig) waitFor(what string, condition func(t protocol.InstanceStatus) bool) protocol.InstanceStatus {
	r.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		status := r.status()
		if condition(status) {
			return status
		}
		if time.Now().After(deadline) {
			require.Fail(r.t, "timed out waiting for "+what, "%+v", status)
		}
	}
}

// push stores a revision at the agent and returns its digest. conduct is the behaviour of the stand-in router under the
// revision, and more holds further settings.
func (r *rig) push(conduct testserver.Conduct, more map[string]any) string {
	r.t.Helper()
	if more == nil {
		more = map[string]any{}
	}
	more["stand"] = conduct
	raw, err := revision.Canonical("f", testserver.JSON(testserver.Deployment("127.0.0.1:9", 0.1, more)))
	require.NoError(r.t, err)
	digest := revision.Digest(raw)
	reply := r.call(protocol.Request{Verb: protocol.PutRevisionVerb, Revision: protocol.Revision{Digest: digest, Content: raw}})
	require.Empty(r.t, reply.Failure)
	return digest
}

// completeStep begins the next step and waits until it has a result.
func (r *rig) completeStep(digest string) protocol.InstanceStatus {
	r.t.Helper()
	failure := r.beginStep(digest)
	require.Empty(r.t, failure)
	return r.waitFor("the end of the step", func(t protocol.InstanceStatus) bool {
		return t.LastStep.Number == r.stepNumber && t.LastResult != rollout.StepPending
	})
}

// beginStep begins the next step. It returns the reason why the step was not begun, or an empty string.
func (r *rig) beginStep(digest string) string {
	r.stepNumber++
	reply := r.call(protocol.Request{
		Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n",
		Step: rollout.Step{RolloutID: "r", Number: r.stepNumber, Revision: digest},
	})
	if reply.Denial != lease.Granted {
		return reply.Denial.String() + " " + reply.Failure
	}
	return reply.Failure
}

func ready(t protocol.InstanceStatus) bool { return t.State == rollout.ProcessReady }

func TestStepsStartRestartAndReloadRouters(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	a := r.push(testserver.Conduct{}, nil)
	status := r.completeStep(a)
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	first := status.ProcessID
	assert.NotZero(t, first)
	r.waitFor("counters", func(t protocol.InstanceStatus) bool { return t.CommandsSinceStep.Completed >= 200 })
	b := r.push(testserver.Conduct{}, map[string]any{"discovery": "127.0.0.1:10"})
	status = r.completeStep(b)
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.Equal(t, first, status.ProcessID, "another discovery address needs only a reload by SIGHUP")
	c := r.push(testserver.Conduct{Ready: 0.3}, map[string]any{"limits": map[string]any{"sockets": 300}})
	status = r.completeStep(c)
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.NotEqual(t, first, status.ProcessID)
	raw, err := os.ReadFile(filepath.Join(r.folder, "n", configName))
	require.NoError(t, err)
	assert.Contains(t, string(raw), `"sockets":300`)
}

func TestInvalidRevisionFailsItsStepAndThePreviousOneRunsAgain(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	good := r.push(testserver.Conduct{}, nil)
	r.completeStep(good)
	for failure, conduct := range map[string]testserver.Conduct{
		"it ended with status 3: stand-in: told to end": {Exit: 3},
		"it was not ready within 2 s":                   {Silent: true},
	} {
		status := r.completeStep(r.push(conduct, map[string]any{"limits": map[string]any{"sockets": 300}}))
		assert.Equal(t, rollout.StepFailed, status.LastResult)
		assert.Contains(t, status.LastFailure, failure)
		status = r.completeStep(good)
		assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
		assert.Equal(t, rollout.ProcessReady, status.State)
	}
	assert.Contains(t, r.completeStep(strings.Repeat("0", 32)).LastFailure, "is not stored at agent a: push it")
	reply := r.call(protocol.Request{Verb: protocol.PutRevisionVerb, Revision: protocol.Revision{Digest: "x", Content: []byte(`{"discovery":"x"}`)}})
	assert.Contains(t, reply.Failure, "but was pushed as x")
	raw := []byte(`{"discovery":"x"}`)
	reply = r.call(protocol.Request{Verb: protocol.PutRevisionVerb, Revision: protocol.Revision{Digest: revision.Digest(raw), Content: raw}})
	assert.Contains(t, reply.Failure, "instance n: discovery:", "the router's own parser rejects it")
}

// The agent is so busy that the process has already ended when the agent adopts it. The last line of the router's log must
// be part of the step's failure nevertheless.
func TestLastLogLineOfARouterThatExitsImmediatelyIsReported(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	require.Empty(t, r.beginStep(r.push(testserver.Conduct{Exit: 3}, nil)))
	var status protocol.InstanceStatus
	for deadline := time.Now().Add(testTimeout); status.LastResult == rollout.StepPending && time.Now().Before(deadline); {
		r.inEventLoop(func() { time.Sleep(50 * time.Millisecond) })
		status = r.status()
	}
	assert.Contains(t, status.LastFailure, "it ended with status 3: stand-in: told to end")
}

func TestRouterIsKilledAfterItsDrainTimeout(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.completeStep(r.push(testserver.Conduct{Deaf: true}, nil))
	began := time.Now()
	status := r.completeStep(r.push(testserver.Conduct{}, map[string]any{"limits": map[string]any{"sockets": 300}}))
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.GreaterOrEqual(t, time.Since(began), 1500*time.Millisecond, "the drain time is ten times the longest client timeout, 0.45 s and the grace")
	r.completeStep(r.push(testserver.Conduct{Drain: 0.7}, map[string]any{"limits": map[string]any{"sockets": 301}}))
	p := r.process()
	status = r.completeStep(r.push(testserver.Conduct{}, nil))
	assert.Equal(t, rollout.StepSucceeded, status.LastResult)
	assert.NotEqual(t, p.pid, status.ProcessID)
}

func TestRestartedAgentAdoptsRunningRouter(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	status := r.completeStep(r.push(testserver.Conduct{}, nil))
	r.restart()
	adopted := r.waitFor("ready", ready)
	assert.Equal(t, status.ProcessID, adopted.ProcessID)
	p := r.process()
	require.NoError(t, p.signal(unix.SIGKILL))
	after := r.waitFor("a new process", func(t protocol.InstanceStatus) bool { return ready(t) && t.ProcessID != status.ProcessID })
	assert.Equal(t, 1, after.Crashes)
	assert.NotEqual(t, lease.Granted, r.call(protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 1, Holder: "other"}}).Denial,
		"the lease survives a restart of the agent")
}

func TestProcessWithoutIncarnationIsNotAdopted(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	status := r.completeStep(r.push(testserver.Conduct{}, nil))
	r.stop()
	p, err := findRunning(r.agent.routers[0].incarnation(1))
	require.NoError(t, err)
	require.Equal(t, status.ProcessID, p.pid)
	require.NoError(t, p.signal(unix.SIGKILL))
	for gone := false; !gone; gone, _ = p.exited() {
		time.Sleep(time.Millisecond)
	}
	p, err = findRunning(r.agent.routers[0].incarnation(1))
	require.NoError(t, err)
	assert.Nil(t, p, "a router is identified only by its incarnation, and this process has none")
	r.start()
	assert.NotEqual(t, status.ProcessID, r.waitFor("ready", ready).ProcessID)
}

func TestRestartedAgentResolvesItsOpenStep(t *testing.T) {
	t.Parallel()
	for name, after := range map[string]time.Duration{
		"at once": 0, "in the drain": 200 * time.Millisecond,
		"before it is ready": 700 * time.Millisecond,
	} {
		r := newRig(t)
		r.completeStep(r.push(testserver.Conduct{Drain: 0.5}, nil))
		b := r.push(testserver.Conduct{Ready: 0.5}, map[string]any{"limits": map[string]any{"sockets": 300}})
		require.Empty(t, r.beginStep(b), name)
		time.Sleep(after)
		r.restart()
		status := r.waitFor("the end of the step", func(t protocol.InstanceStatus) bool { return t.LastResult != rollout.StepPending && ready(t) })
		assert.NotEqual(t, rollout.StepFailed, status.LastResult, "%s: %s", name, status.LastFailure)
		if status.LastResult == rollout.StepSucceeded {
			assert.Equal(t, b, status.Revision, name)
		}
	}
}

func TestFullDiskRejectsTheStepAndChangesNothing(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	status := r.completeStep(r.push(testserver.Conduct{}, nil))
	b := r.push(testserver.Conduct{}, map[string]any{"limits": map[string]any{"sockets": 300}})
	r.store.full.Store(true)
	assert.Contains(t, r.beginStep(b), "no space left")
	assert.Contains(t, r.call(protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 9, Holder: "h"}}).Failure, "no space left")
	assert.Equal(t, status.ProcessID, r.status().ProcessID)
	assert.EqualValues(t, 1, r.call(protocol.Request{Verb: protocol.StatusVerb}).LeaseState.Epoch, "a lease that could not be stored is not granted")
	r.store.full.Store(false)
	assert.Equal(t, rollout.StepSucceeded, r.completeStep(b).LastResult)
}

func TestCrashLoopIsReported(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.inEventLoop(func() { r.agent.limits.MinBackoffSeconds, r.agent.limits.MaxCrashes = 0.01, 3 })
	status := r.completeStep(r.push(testserver.Conduct{LiveFor: 0.3}, nil))
	assert.Equal(t, rollout.StepSucceeded, status.LastResult)
	status = r.waitFor("a crash loop", func(t protocol.InstanceStatus) bool { return t.State == rollout.ProcessCrashLooping })
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

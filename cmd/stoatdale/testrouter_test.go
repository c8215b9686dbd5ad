package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testRouter is the router in a process of its own, with a discovery service that the test controls.
type testRouter struct {
	t          *testing.T
	cmd        *exec.Cmd
	address    string      // address at which it accepts clients
	configPath string      // path of its configuration document
	log        chan string // its log lines; closed when the program ends
	discovery  *testDiscovery
}

// routerOptions are the parts of a router's configuration that a test can set. Zero values mean the defaults below.
type routerOptions struct {
	seed       string // seed of its random decisions; empty: testSeed
	sockets    int
	memoryMB   int
	discovery  string         // address of the discovery service; empty: testRouter.discovery
	settings   map[string]any // nil: testSettings without health checks
	drainGrace time.Duration  // 0: not part of the configuration
	// discoveryDelay is how late testRouter.discovery is with each reply.
	discoveryDelay time.Duration
}

const (
	testSeed     = "1f"
	testSockets  = 256
	testMemoryMB = 48
)

// testSettings returns the settings of a deployment with one command group that reads and one that writes.
func testSettings(healthChecks bool) map[string]any {
	group := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "targetNs": 4e9, "deadlineNs": 8e9, "worth": 1}
	}
	return map[string]any{
		"balancers": 1, "tickNs": 5e6, "discovery": "push",
		"classes": []any{group("look", "pure"), group("order", "side_effect")},
		"familyInfo": map[string]any{
			"tokens": "kept", "guards": "none", "needsByClass": []string{"eventual", "mutate"},
			"classBoundNs": []int{0, 0},
		},
		"loadInfo": map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
		"limits": map[string]any{
			"mostTries": 4, "dialTimeoutNs": 2e9, "connIdleNs": 60e9, "cancel": true,
			"probes": healthChecks, "retryAfter": true, "maxRetryAfterNs": 1e9,
		},
		"invariants": map[string]any{"startCapacity": 0.2, "rampTimeNs": 1e9, "overloadFactor": 2, "fallNs": 1e9},
	}
}

// startRouter starts the program with an endpoint list and the default options.
func startRouter(t *testing.T, endpoints ...string) *testRouter {
	t.Helper()
	return startRouterWith(t, routerOptions{}, endpoints...)
}

// startRouterWith starts the program and waits until it serves. The program is killed when the test ends.
func startRouterWith(t *testing.T, options routerOptions, endpoints ...string) *testRouter {
	t.Helper()
	list := strings.Join(endpoints, ",")
	r := &testRouter{t: t, log: make(chan string, 10000), discovery: newLateTestDiscovery(t, list, options.discoveryDelay)}
	options.complete(r.discovery.address)
	r.configPath = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(r.configPath, options.document(t, list), 0o600))
	r.cmd = exec.Command(programPath)
	r.cmd.Env = []string{"GW_CONFIG=" + r.configPath, "GW_DISCOVERY=" + options.discovery}
	stderr, err := r.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, r.cmd.Start())
	t.Cleanup(func() { _ = r.cmd.Process.Kill(); _ = r.cmd.Wait() })
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			r.log <- lines.Text()
		}
		close(r.log)
	}()
	listening := regexp.MustCompile(`"listen":"([^"]+)"`)
	r.address = listening.FindStringSubmatch(r.waitForLog("serving"))[1]
	return r
}

// complete sets options that are zero to their defaults, and adds the drain grace to the settings.
func (o *routerOptions) complete(discovery string) {
	if o.seed == "" {
		o.seed = testSeed
	}
	if o.sockets == 0 {
		o.sockets = testSockets
	}
	if o.memoryMB == 0 {
		o.memoryMB = testMemoryMB
	}
	if o.discovery == "" {
		o.discovery = discovery
	}
	if o.settings == nil {
		o.settings = testSettings(false)
	}
	if o.drainGrace > 0 {
		o.settings["invariants"].(map[string]any)["stopSendingWithinNs"] = o.drainGrace.Nanoseconds()
	}
}

// document returns the configuration document of a router whose last known endpoint list is list.
func (o *routerOptions) document(t *testing.T, list string) []byte {
	t.Helper()
	document, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": o.discovery, "seed": o.seed,
		"limits":   map[string]any{"memory_mb": o.memoryMB, "sockets": o.sockets},
		"settings": o.settings,
		"known":    json.RawMessage(`{"generation":0,"reset":true,"instances":[` + list + "]}"),
	})
	require.NoError(t, err)
	return document
}

// waitForLog waits for a log line that contains a text, and returns the line.
func (r *testRouter) waitForLog(text string) string {
	r.t.Helper()
	for timeout := time.After(hangTimeout); ; {
		select {
		case line, ok := <-r.log:
			if !ok {
				require.Fail(r.t, "the program ended", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			require.Fail(r.t, "not logged", text)
		}
	}
}

// counters makes the program log its counters by SIGUSR1, and returns them.
func (r *testRouter) counters() map[string]any {
	r.t.Helper()
	r.signal(syscall.SIGUSR1)
	var line struct{ Counters map[string]any }
	require.NoError(r.t, json.Unmarshal([]byte(r.waitForLog(`"message":"counters"`)), &line))
	return line.Counters
}

// waitForCounter waits until a counter has reached a minimum.
func (r *testRouter) waitForCounter(name string, minimum float64) {
	r.t.Helper()
	for deadline := time.Now().Add(hangTimeout); r.counters()[name].(float64) < minimum; {
		require.True(r.t, time.Now().Before(deadline), "%s stays under %v", name, minimum)
	}
}

func (r *testRouter) signal(s syscall.Signal) {
	r.t.Helper()
	require.NoError(r.t, r.cmd.Process.Signal(s))
}

// reload replaces texts in the configuration, given as pairs of old and new, and makes the program reload it by SIGHUP.
func (r *testRouter) reload(pairs ...string) {
	r.t.Helper()
	config, err := os.ReadFile(r.configPath)
	require.NoError(r.t, err)
	for i := 0; i < len(pairs); i += 2 {
		require.Contains(r.t, string(config), pairs[i])
		config = bytes.Replace(config, []byte(pairs[i]), []byte(pairs[i+1]), 1)
	}
	require.NoError(r.t, os.WriteFile(r.configPath, config, 0o600))
	r.signal(syscall.SIGHUP)
}

// receive waits for a value on a channel.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(hangTimeout):
		require.Fail(t, "nothing came")
		panic("unreachable")
	}
}

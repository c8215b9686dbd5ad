package main

import (
	"debug/elf"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
)

// hangTimeout ends a test that hangs; no test that passes waits for it.
const hangTimeout = 20 * time.Second

// programPath is the path of the program, which TestMain builds.
var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "stoatdale")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "stoatdale")
	if out, err := exec.Command("go", "build", "-o", programPath, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestProgramLinksNoControlPlane(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	require.NoError(t, err)
	for _, excluded := range []string{"cobra", "bbolt", "opentelemetry", "participle", "internal/fleet", "internal/cli", "internal/lab"} {
		assert.NotContains(t, string(out), excluded, "only stoatctl may link this")
	}
}

// The platform loads a shared library of its own into the process. So the program that the deploy file builds must be
// linked dynamically, with the C library's loader as its interpreter.
func TestDeployBuildIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	build := regexp.MustCompile(`(?m)^build = "mkdir -p bin && (.*) -o bin/ \./cmd/\.\.\."`).FindStringSubmatch(string(text))
	require.NotNil(t, build, "the build line has another form")
	builtPath := filepath.Join(t.TempDir(), "stoatdale")
	out, err := exec.Command("sh", "-c", build[1]+" -o "+builtPath+" .").CombinedOutput()
	require.NoError(t, err, string(out))
	program, err := elf.Open(builtPath)
	require.NoError(t, err)
	defer func() { _ = program.Close() }()
	var loader []byte
	for _, segment := range program.Progs {
		if segment.Type == elf.PT_INTERP {
			loader, err = io.ReadAll(segment.Open())
			require.NoError(t, err)
		}
	}
	assert.Contains(t, string(loader), "/ld-", "the program names an interpreter")
	needed, err := program.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, needed, "libc.so.6")
	assert.Regexp(t, `(?m)^run = "exec bin/stoatdale"$`, string(text), "exec makes the router the platform's only process")
}

func TestInvalidConfigurationExitsWithOneLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"x"}`), 0o600))
	cmd := exec.Command(programPath)
	cmd.Env = []string{"GW_CONFIG=" + path}
	out, err := cmd.CombinedOutput()
	var status *exec.ExitError
	require.ErrorAs(t, err, &status)
	assert.Equal(t, 1, status.ExitCode())
	assert.Contains(t, string(out), "discovery:")
	assert.Equal(t, 1, strings.Count(string(out), "\n"))
}

// The last known endpoint list holds more endpoints, shards and zones than any settings name, and the limits are the
// lowest allowed.
func TestStartsWithALargeEndpointListAndTheLeastLimits(t *testing.T) {
	for _, endpoints := range []int{0, 600, 3200} {
		var list []string
		for i := range endpoints {
			list = append(list, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"127.0.0.1:1","zone":"hall-%d","cell":%d,"lifecycle":"ready","startedAtMs":1}`,
				i, i%17, i/5))
		}
		r := startRouterWith(t, routerOptions{sockets: 64, memoryMB: 16}, list...)
		client := r.connect()
		client.send(pg.AppendQuery(nil, ""))
		assert.Equal(t, "EMPTY", client.readReply())
		r.waitForCounter("endpoints_known", float64(endpoints))
	}
}

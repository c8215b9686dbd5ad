package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hangTimeout ends a test that hangs; no test that passes waits for it.
const hangTimeout = 60 * time.Second

// programFolder holds stoatctl and stoatdale, which TestMain builds.
var programFolder string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "stoatctl")
	if err != nil {
		panic(err)
	}
	programFolder = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", ".", "../stoatdale").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func stoatctl() string { return filepath.Join(programFolder, "stoatctl") }

// result is the exit code and the output of a command.
type result struct {
	exitCode       int
	stdout, stderr string
}

// run runs stoatctl in a folder and waits until it exits.
func run(t *testing.T, dir string, args ...string) result {
	t.Helper()
	cmd := exec.Command(stoatctl(), args...)
	var stdout, stderr bytes.Buffer
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return result{exitCode: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// lastJSON decodes the last line of standard output as an object.
func (r result) lastJSON(t *testing.T) map[string]any {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(r.stdout), "\n")
	var object map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &object), "%s\n%s", r.stdout, r.stderr)
	return object
}

// waitFor polls a condition until it holds.
func waitFor(t *testing.T, interval time.Duration, condition func() bool, failure string) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); !condition(); time.Sleep(interval) {
		require.True(t, time.Now().Before(deadline), failure)
	}
}

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

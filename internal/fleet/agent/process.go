package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/pg"
)

// markVariable is in the environment of every router that an agent starts. Its value is that of no other
// process, so a router is known by it whatever its number is.
const incarnationVariable = "STOATDALE_MARK"

const (
	watchInterval      = 100 * time.Millisecond // how often a process's end and its log are looked for
	healthCheckTimeout = time.Second
	maxLogBytes        = 8 << 20 // bytes; then it is begun anew, and the one before is kept
	maxLineBytes       = 1 << 20
	maxAnswerBytes     = 64 << 10
)

// process is a router that runs.
type processHandle struct {
	pid int
	fd  int // stands for the process for good, also when its number is given to another
}

// launch starts a router that outlives the agent: in a session of its own, its log in a file.
func launch(program, folder, mark string) (*processHandle, error) {
	log, err := os.OpenFile(filepath.Join(folder, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	null, err := os.Open(os.DevNull)
	if err != nil {
		return nil, err
	}
	defer func() { _ = null.Close() }()
	env := append(os.Environ(), "GW_CONFIG="+filepath.Join(folder, configName), incarnationVariable+"="+mark)
	p, err := os.StartProcess(program, []string{program}, &os.ProcAttr{
		Env: env, Files: []*os.File{null, log, log},
		Sys: &unix.SysProcAttr{Setsid: true},
	})
	if err != nil {
		return nil, err
	}
	// Until it is waited for the number is its own.
	fd, err := unix.PidfdOpen(p.Pid, 0)
	if err != nil {
		_ = p.Kill()
		_, _ = p.Wait()
		return nil, fmt.Errorf("pidfd: %w", err)
	}
	pid := p.Pid
	_ = p.Release()
	return &processHandle{pid: pid, fd: fd}, nil
}

// adopt finds the running router that bears a mark, or nil.
func findRunning(mark string) (*processHandle, error) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil, err
	}
	want := []byte(incarnationVariable + "=" + mark)
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || !hasEnvironment(pid, want) {
			continue
		}
		fd, err := unix.PidfdOpen(pid, 0)
		if err != nil {
			continue
		}
		if hasEnvironment(pid, want) { // still: so the descriptor is that of the right one
			return &processHandle{pid: pid, fd: fd}, nil
		}
		_ = unix.Close(fd)
	}
	return nil, nil
}

func hasEnvironment(pid int, want []byte) bool {
	env, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return false
	}
	for _, v := range bytes.Split(env, []byte{0}) {
		if bytes.Equal(v, want) {
			return true
		}
	}
	return false
}

func (p *processHandle) signal(s unix.Signal) error { return unix.PidfdSendSignal(p.fd, s, nil, 0) }

// gone tells whether the process has ended, and how if that can be known.
func (p *processHandle) exited() (bool, string) {
	fds := []unix.PollFd{{Fd: int32(p.fd), Events: unix.POLLIN}}
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return false, ""
	}
	var status unix.WaitStatus
	for {
		pid, err := unix.Wait4(p.pid, &status, unix.WNOHANG, nil)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil || pid != p.pid:
			return true, "it ended; how is not known, since an earlier agent had started it"
		case status.Signaled():
			return true, "it was ended by " + status.Signal().String()
		}
		return true, fmt.Sprintf("it ended with status %d", status.ExitStatus())
	}
}

func (p *processHandle) close() { _ = unix.Close(p.fd) }

// spoken is what a line of a router's log tells the agent.
type logEvent struct {
	counts       *plan.CommandCounts
	reloadResult *string // why not; empty: it has
}

// tail reads a router's log as it grows.
type logTail struct {
	path      string
	offset    int64
	lastError string // what it said last that was a fault
}

// newTail starts at the end of what is there.
func newLogTail(path string) *logTail {
	t := &logTail{path: path}
	if info, err := os.Stat(path); err == nil {
		t.offset = info.Size()
	}
	return t
}

// read hands out what came since the last call. A log that has grown long is begun anew.
func (t *logTail) read(each func(logEvent)) error {
	f, err := os.Open(t.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if info, err := f.Stat(); err == nil && info.Size() < t.offset {
		t.offset = 0 // begun anew by somebody else
	}
	if _, err := f.Seek(t.offset, io.SeekStart); err != nil {
		return err
	}
	r := bufio.NewReaderSize(io.LimitReader(f, 4*maxLineBytes), 64<<10)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			break // half a line is read once it is whole
		}
		t.offset += int64(len(line))
		t.parseLine(line, each)
	}
	if t.offset > maxLogBytes {
		return t.rotate()
	}
	return nil
}

func (t *logTail) rotate() error {
	raw, err := os.ReadFile(t.path)
	if err != nil {
		return err
	}
	if err := os.WriteFile(t.path+".1", raw, 0o600); err != nil {
		return err
	}
	if err := os.Truncate(t.path, 0); err != nil { // the router goes on writing to its end
		return err
	}
	t.offset = 0
	return nil
}

func (t *logTail) parseLine(line []byte, each func(logEvent)) {
	var l struct {
		Level    string `json:"level"`
		Message  string `json:"message"`
		Error    string `json:"error"`
		Counters *struct {
			BadInput  uint64 `json:"bad_input"`
			Answered  uint64 `json:"answered"`
			Throttled uint64 `json:"throttled"`
			Failed    uint64 `json:"failed"`
		} `json:"counters"`
	}
	if json.Unmarshal(line, &l) != nil {
		t.lastError = strings.TrimSpace(string(line)) // a program's last words need not be JSON
		return
	}
	switch {
	case l.Counters != nil:
		c := l.Counters
		left := c.Throttled + c.Failed + c.BadInput
		each(logEvent{counts: &plan.CommandCounts{Completed: c.Answered + left, Unanswered: left}})
	case l.Message == "reloaded":
		no := ""
		each(logEvent{reloadResult: &no})
	case l.Message == "reload refused":
		each(logEvent{reloadResult: &l.Error})
	case l.Level == "error" || l.Level == "fatal":
		t.lastError = strings.TrimSpace(l.Message + " " + l.Error)
	}
}

// probe asks a router an empty query, which it answers by itself.
func healthCheck(ctx context.Context, at string) error {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", at)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(healthCheckTimeout))
	if _, err := c.Write(pg.Query(pg.Hello(nil), "")); err != nil {
		return err
	}
	r := bufio.NewReader(c)
	for empty := false; ; {
		kind, _, err := pg.Receive(r, maxAnswerBytes)
		switch {
		case err != nil:
			return err
		case kind == 'E':
			return errors.New("it answered with an error")
		case kind == 'I':
			empty = true
		case kind == 'Z' && empty:
			return nil
		}
	}
}

// EndRouters ends all routers whose files lie under a folder, and tells how many there were. It is for whoever
// takes a whole fleet down: a drill, a test.
func EndRouters(folder string) (int, error) {
	running, err := RunningRouters(folder)
	if err != nil {
		return 0, err
	}
	for _, pids := range running {
		for _, pid := range pids {
			if fd, err := unix.PidfdOpen(pid, 0); err == nil {
				_ = unix.PidfdSendSignal(fd, unix.SIGKILL, nil, 0)
				_ = unix.Close(fd)
			}
		}
	}
	return len(running), nil
}

// Running lists the processes of routers whose files lie under a folder, by the folder of each.
func RunningRouters(under string) (map[string][]int, error) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil, err
	}
	prefix := []byte(incarnationVariable + "=" + under + "/")
	out := map[string][]int{}
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		env, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
		if err != nil {
			continue
		}
		for _, v := range bytes.Split(env, []byte{0}) {
			if bytes.HasPrefix(v, prefix) {
				folder := filepath.Dir(string(v[len(incarnationVariable)+1:]))
				out[folder] = append(out[folder], pid)
			}
		}
	}
	return out, nil
}

package agent

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// incarnationVariable is in the environment of every router that an agent starts. Its value is that of no other process,
// so that a router is known by it: process numbers are used again.
const incarnationVariable = "STOATDALE_MARK"

// configVariable tells a router its configuration's file.
const configVariable = "GW_CONFIG"

// processHandle is a router's process.
type processHandle struct {
	pid int
	fd  int // a pidfd: it stands for this process also after its number is used again

	logStart int64 // offset in the log from which on the agent reads what the process writes
}

// launch starts a router that outlives the agent: in a session of its own, with its output in a file of its folder.
func launch(program, folder, incarnation string) (*processHandle, error) {
	log, err := os.OpenFile(filepath.Join(folder, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	before, err := log.Stat() // before the start: a process that ends at once has had its last words by then
	if err != nil {
		return nil, err
	}
	null, err := os.Open(os.DevNull)
	if err != nil {
		return nil, err
	}
	defer func() { _ = null.Close() }()
	config := filepath.Join(folder, configName)
	process, err := os.StartProcess(program, []string{program}, &os.ProcAttr{
		Env:   append(os.Environ(), configVariable+"="+config, incarnationVariable+"="+incarnation),
		Files: []*os.File{null, log, log},
		Sys:   &unix.SysProcAttr{Setsid: true},
	})
	if err != nil {
		return nil, err
	}
	// The number cannot be used again before the process is waited for, so the descriptor is that of the right one.
	fd, err := unix.PidfdOpen(process.Pid, 0)
	if err != nil {
		_ = process.Kill()
		_, _ = process.Wait()
		return nil, fmt.Errorf("pidfd: %w", err)
	}
	handle := &processHandle{pid: process.Pid, fd: fd, logStart: before.Size()}
	_ = process.Release()
	return handle, nil
}

func (p *processHandle) signal(s unix.Signal) error { return unix.PidfdSendSignal(p.fd, s, nil, 0) }

// exited tells whether the process has ended, and how if that can be known.
func (p *processHandle) exited() (exited bool, how string) {
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

// findRunning finds the process of an incarnation, or returns nil.
func findRunning(incarnation string) (*processHandle, error) {
	pids, err := processIDs()
	if err != nil {
		return nil, err
	}
	for _, pid := range pids {
		if !slices.Contains(incarnationsOf(pid), incarnation) {
			continue
		}
		fd, err := unix.PidfdOpen(pid, 0)
		if err != nil {
			continue
		}
		if slices.Contains(incarnationsOf(pid), incarnation) { // still, so the descriptor is that of the right process
			return &processHandle{pid: pid, fd: fd}, nil
		}
		_ = unix.Close(fd)
	}
	return nil, nil
}

// RunningRouters lists the processes of routers whose files lie under a folder, by the folder of each.
func RunningRouters(under string) (map[string][]int, error) {
	pids, err := processIDs()
	if err != nil {
		return nil, err
	}
	running := map[string][]int{}
	for _, pid := range pids {
		for _, incarnation := range incarnationsOf(pid) {
			if strings.HasPrefix(incarnation, under+"/") {
				folder := filepath.Dir(incarnation)
				running[folder] = append(running[folder], pid)
			}
		}
	}
	return running, nil
}

// KillRouters kills all routers whose files lie under a folder, and returns how many folders had one. It is for whoever
// takes a whole fleet down: a drill, a test.
func KillRouters(under string) (int, error) {
	running, err := RunningRouters(under)
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

// processIDs lists the processes of this machine.
func processIDs() ([]int, error) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil, err
	}
	var pids []int
	for _, entry := range entries {
		if pid, err := strconv.Atoi(entry.Name()); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids, nil
}

// incarnationsOf are the incarnations in a process's environment: none if it is no router or cannot be read, and more
// than one if its agent was itself started by a router's descendant.
func incarnationsOf(pid int) []string {
	environment, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return nil
	}
	var incarnations []string
	for variable := range bytes.SplitSeq(environment, []byte{0}) {
		if value, found := bytes.CutPrefix(variable, []byte(incarnationVariable+"=")); found {
			incarnations = append(incarnations, string(value))
		}
	}
	return incarnations
}

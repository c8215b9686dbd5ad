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

// incarnationVariable is the environment variable that identifies a router that an agent started. No two processes have
// the same value. A process ID does not identify a router, because the system reuses process IDs.
const incarnationVariable = "STOATDALE_MARK"

// configVariable is the environment variable with the path of a router's configuration file.
const configVariable = "GW_CONFIG"

// processHandle refers to the process of a router.
type processHandle struct {
	pid int
	fd  int // pidfd, which refers to this process even after its process ID is reused

	logStart int64 // offset in the log at which the agent starts reading the output of this process
}

// launch starts a router that keeps running when the agent ends: it has its own session and writes to a log file in its
// folder.
func launch(program, folder, incarnation string) (*processHandle, error) {
	log, err := os.OpenFile(filepath.Join(folder, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	logInfo, err := log.Stat() // before the start, since a process may write its last message immediately and end
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
	// The process ID cannot be reused before the process is waited for, so the pidfd refers to the started process.
	fd, err := unix.PidfdOpen(process.Pid, 0)
	if err != nil {
		_ = process.Kill()
		_, _ = process.Wait()
		return nil, fmt.Errorf("pidfd: %w", err)
	}
	handle := &processHandle{pid: process.Pid, fd: fd, logStart: logInfo.Size()}
	_ = process.Release()
	return handle, nil
}

// signal sends a signal to the process.
func (p *processHandle) signal(s unix.Signal) error { return unix.PidfdSendSignal(p.fd, s, nil, 0) }

// exited reports whether the process has ended. reason describes the end for operators.
func (p *processHandle) exited() (exited bool, reason string) {
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
			return true, "it ended with an unknown status, since it was started by an earlier agent process"
		case status.Signaled():
			return true, "it was ended by signal: " + status.Signal().String()
		}
		return true, fmt.Sprintf("it ended with status %d", status.ExitStatus())
	}
}

func (p *processHandle) close() { _ = unix.Close(p.fd) }

// findRunning returns the process of an incarnation, or nil if none runs.
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
		// If the process ID still has the incarnation, it was not reused before the pidfd was opened.
		if slices.Contains(incarnationsOf(pid), incarnation) {
			return &processHandle{pid: pid, fd: fd}, nil
		}
		_ = unix.Close(fd)
	}
	return nil, nil
}

// RunningRouters returns the process IDs of the running routers whose folders are below the folder parent. The keys of the
// map are the routers' folders.
func RunningRouters(parent string) (map[string][]int, error) {
	pids, err := processIDs()
	if err != nil {
		return nil, err
	}
	running := map[string][]int{}
	for _, pid := range pids {
		for _, incarnation := range incarnationsOf(pid) {
			if strings.HasPrefix(incarnation, parent+"/") {
				folder := filepath.Dir(incarnation)
				running[folder] = append(running[folder], pid)
			}
		}
	}
	return running, nil
}

// KillRouters kills all routers whose folders are below the folder parent, and returns the number of folders that had a
// running router. Drills and tests use it to end a whole fleet.
func KillRouters(parent string) (int, error) {
	running, err := RunningRouters(parent)
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

// processIDs returns the IDs of all processes on this machine.
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

// incarnationsOf returns the incarnations in a process's environment. There is none if the process is not a router or its
// environment cannot be read. There are several if the process's agent was itself started by a descendant of a router.
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

package standin

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Router is a router that was started by the command of the deploy file.
type Router struct {
	Address string

	config  string // path of the configuration file
	command *exec.Cmd
	ended   chan struct{} // closed once the process has ended
	err     error         // of the process; valid once ended is closed
}

// WriteConfig writes the configuration file at once.
func (r *Router) WriteConfig(document map[string]any) error {
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.config+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(r.config+".new", r.config)
}

// StartRouter starts a router from the repository's root and waits until it serves. Its log goes to folder/NAME.log.
// STOATDALE_RUN holds the command of the deploy file, which ends in exec, so that the process is the router.
func StartRouter(folder, name string, document map[string]any) (*Router, error) {
	run := os.Getenv("STOATDALE_RUN")
	if run == "" {
		return nil, errors.New("STOATDALE_RUN is not set")
	}
	r := &Router{config: filepath.Join(folder, name+".json"), ended: make(chan struct{})}
	document["name"], document["listen"], document["seed"] = name, "127.0.0.1:0", "8c1f30d27a5be964"
	if err := r.WriteConfig(document); err != nil {
		return nil, err
	}
	logPath := filepath.Join(folder, name+".log")
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	r.command = exec.Command("/bin/sh", "-c", run)
	r.command.Env = append(os.Environ(), "GW_CONFIG="+r.config)
	r.command.Stderr = log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go r.runProcess(started, log)
	if err := <-started; err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.Address = listenAddress(logPath); r.Address != "" {
			return r, nil
		}
	}
	r.Kill()
	return nil, errors.New("the router did not serve within 10 s")
}

// runProcess starts the process and waits for its end. It keeps its thread until then: the process is killed when the thread
// that has started it ends, so that it does not outlive this program.
func (r *Router) runProcess(started chan<- error, log *os.File) {
	runtime.LockOSThread()
	defer func() { _ = log.Close() }()
	err := r.command.Start()
	started <- err
	if err != nil {
		return
	}
	r.err = r.command.Wait()
	close(r.ended)
}

// listenAddress returns the address in the log line that says that the router serves.
func listenAddress(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct{ Message, Listen string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "serving" {
			return line.Listen
		}
	}
	return ""
}

// Signal sends a signal to the router.
func (r *Router) Signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

// Kill ends the router.
func (r *Router) Kill() {
	_ = r.command.Process.Kill()
	<-r.ended
}

// Ended returns an error if the router has ended.
func (r *Router) Ended() error {
	select {
	case <-r.ended:
		return fmt.Errorf("the router has ended: %w", cmp.Or(r.err, errors.New("status 0")))
	default:
		return nil
	}
}

// PID returns the router's process id.
func (r *Router) PID() int { return r.command.Process.Pid }

// Memory returns a line of the process's status, such as RssAnon or VmRSS, in bytes.
func (r *Router) Memory(line string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.PID()))
	if err != nil {
		return 0
	}
	for _, text := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(text, line+":"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

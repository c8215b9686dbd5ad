package testserver

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

// Conduct is the behavior of a stand-in router. It is read from the key "stand" of the router's configuration file.
type Conduct struct {
	Exit    int     `json:"exit"`    // if not 0, exit with this status at the start
	Silent  bool    `json:"silent"`  // accept connections and answer nothing
	Ready   float64 `json:"ready"`   // seconds from the start until it answers queries
	Drain   float64 `json:"drain"`   // seconds from SIGTERM until it exits
	Deaf    bool    `json:"deaf"`    // ignore SIGTERM
	Fails   bool    `json:"fails"`   // report half of the commands in its counters as failed
	LiveFor float64 `json:"liveFor"` // seconds until it exits with status 1; 0 means never
}

// countersStep is the number of commands by which the counters grow with each log line.
const countersStep = 100

// fakeRouter is a running stand-in router.
type fakeRouter struct {
	listener         net.Listener
	conduct          atomic.Pointer[Conduct]
	startedAt        time.Time
	reportedCommands int // commands in the last log line of counters
}

// Router runs a stand-in router as the main function of a program. It reads the configuration file that GW_CONFIG names,
// answers empty queries, logs counters on SIGUSR1, reloads the file on SIGHUP and exits on SIGTERM, unless its Conduct
// says otherwise. It does not return.
func Router() {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1)
	listen, conduct, err := readConfig()
	if err != nil {
		exitWithError(err)
	}
	if conduct.Exit != 0 {
		fmt.Fprintln(os.Stderr, "stand-in: told to end")
		os.Exit(conduct.Exit)
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		exitWithError(err)
	}
	r := &fakeRouter{listener: listener, startedAt: time.Now()}
	r.conduct.Store(&conduct)
	go r.accept()
	if conduct.LiveFor > 0 {
		time.AfterFunc(seconds(conduct.LiveFor), func() { os.Exit(1) })
	}
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			r.logCounters()
		case syscall.SIGHUP:
			r.reload()
		case syscall.SIGTERM:
			r.drain()
		}
	}
}

// exitWithError logs the error and exits with status 1.
func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, "stand-in:", err)
	os.Exit(1)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readConfig reads the listen address and the conduct from the file that GW_CONFIG names.
func readConfig() (listen string, conduct Conduct, err error) {
	var document struct {
		Listen string  `json:"listen"`
		Stand  Conduct `json:"stand"`
	}
	raw, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err == nil {
		err = json.Unmarshal(raw, &document)
	}
	return document.Listen, document.Stand, err
}

// logLine writes a JSON log line to stderr.
func logLine(keys map[string]any) {
	raw, _ := json.Marshal(keys)
	_, _ = os.Stderr.Write(append(raw, '\n'))
}

// accept serves connections until the listener is closed.
func (r *fakeRouter) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go answerEmptyQueries(conn, r.isReady)
	}
}

// isReady reports whether the router answers queries at this time.
func (r *fakeRouter) isReady() bool {
	conduct := r.conduct.Load()
	return !conduct.Silent && time.Since(r.startedAt).Seconds() >= conduct.Ready
}

func (r *fakeRouter) logCounters() {
	r.reportedCommands += countersStep
	failed := 0
	if r.conduct.Load().Fails {
		failed = r.reportedCommands / 2
	}
	logLine(map[string]any{
		"level": "info", "message": "counters",
		"counters": map[string]int{"answered": r.reportedCommands - failed, "failed": failed},
	})
}

func (r *fakeRouter) reload() {
	_, conduct, err := readConfig()
	if err != nil {
		logLine(map[string]any{"level": "error", "message": "reload refused", "error": err.Error()})
		return
	}
	r.conduct.Store(&conduct)
	logLine(map[string]any{"level": "info", "message": "reloaded"})
}

// drain closes the listener and exits after the time to drain, unless the router ignores SIGTERM.
func (r *fakeRouter) drain() {
	conduct := r.conduct.Load()
	if conduct.Deaf {
		return
	}
	_ = r.listener.Close()
	time.Sleep(seconds(conduct.Drain))
	os.Exit(0)
}

// answerEmptyQueries answers each query on a connection as an empty one. If answers returns false at the start of the
// connection, it discards everything and answers nothing.
func answerEmptyQueries(c net.Conn, answers func() bool) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	var n uint32
	if binary.Read(r, binary.BigEndian, &n) != nil || n < 4 || n > maxMessageBytes {
		return
	}
	if _, err := r.Discard(int(n) - 4); err != nil {
		return
	}
	if !answers() {
		_, _ = io.Copy(io.Discard, r)
		return
	}
	_, _ = c.Write(pg.AppendStartupReply(nil, pg.CancelKey{}))
	for {
		if _, _, err := pg.ReceiveMessage(r, maxMessageBytes); err != nil {
			return
		}
		_, _ = c.Write(pg.AppendReadyForQuery(pg.AppendEmptyQueryResponse(nil)))
	}
}

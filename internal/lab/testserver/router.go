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

// Conduct is what a revision's key "stand" tells a stand-in router to do.
type Conduct struct {
	Exit    int     `json:"exit"`    // end at once with this status, if not 0
	Silent  bool    `json:"silent"`  // listen, and answer nothing
	Ready   float64 `json:"ready"`   // seconds until it answers
	Drain   float64 `json:"drain"`   // seconds that it takes to end once it is told to
	Deaf    bool    `json:"deaf"`    // to SIGTERM
	Fails   bool    `json:"fails"`   // half of the commands that it counts
	LiveFor float64 `json:"liveFor"` // seconds, then it ends with status 1; 0: for good
}

// countersStep is how many more commands each log line of counters tells.
const countersStep = 100

// fakeRouter is a stand-in router that runs.
type fakeRouter struct {
	listener  net.Listener
	conduct   atomic.Pointer[Conduct]
	startedAt time.Time
	counted   int // commands that its counters have told
}

// Router is a program in place of the router: it reads GW_CONFIG, answers empty queries, logs counters at
// SIGUSR1 and takes its file anew at SIGHUP, but for what its conduct says. It does not return.
func Router() {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1)
	listen, conduct, err := readConfig()
	if err != nil {
		exit(err)
	}
	if conduct.Exit != 0 {
		fmt.Fprintln(os.Stderr, "stand-in: told to end")
		os.Exit(conduct.Exit)
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		exit(err)
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

// exit ends the program as one that could not start.
func exit(err error) {
	fmt.Fprintln(os.Stderr, "stand-in:", err)
	os.Exit(1)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readConfig reads the address and the conduct from the file that GW_CONFIG names.
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

// logLine writes a line of the log.
func logLine(keys map[string]any) {
	raw, _ := json.Marshal(keys)
	_, _ = os.Stderr.Write(append(raw, '\n'))
}

// accept takes connections until the listener is closed.
func (r *fakeRouter) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go answerEmpty(conn, r.answers)
	}
}

// answers reports whether it answers queries by now.
func (r *fakeRouter) answers() bool {
	conduct := r.conduct.Load()
	return !conduct.Silent && time.Since(r.startedAt).Seconds() >= conduct.Ready
}

func (r *fakeRouter) logCounters() {
	r.counted += countersStep
	failed := 0
	if r.conduct.Load().Fails {
		failed = r.counted / 2
	}
	logLine(map[string]any{
		"level": "info", "message": "counters",
		"counters": map[string]int{"answered": r.counted - failed, "failed": failed},
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

// drain ends the program after its time to drain, unless it is deaf to the signal.
func (r *fakeRouter) drain() {
	conduct := r.conduct.Load()
	if conduct.Deaf {
		return
	}
	_ = r.listener.Close()
	time.Sleep(seconds(conduct.Drain))
	os.Exit(0)
}

// answerEmpty answers empty queries on a connection once answers is true.
func answerEmpty(c net.Conn, answers func() bool) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	var n uint32
	if binary.Read(r, binary.BigEndian, &n) != nil || n < 4 || n > longest {
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
		if _, _, err := pg.ReceiveMessage(r, longest); err != nil {
			return
		}
		_, _ = c.Write(pg.AppendReadyForQuery(pg.AppendEmptyQueryResponse(nil)))
	}
}

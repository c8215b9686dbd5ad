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

// Router is a program in place of the router: it reads GW_CONFIG, answers empty queries, logs counters at
// SIGUSR1 and takes its file anew at SIGHUP, but for what its conduct says. It does not return.
func Router() {
	path := os.Getenv("GW_CONFIG")
	say := func(kv map[string]any) {
		raw, _ := json.Marshal(kv)
		_, _ = os.Stderr.Write(append(raw, '\n'))
	}
	read := func() (listen string, c Conduct, err error) {
		var doc struct {
			Listen string  `json:"listen"`
			Stand  Conduct `json:"stand"`
		}
		raw, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(raw, &doc)
		}
		return doc.Listen, doc.Stand, err
	}
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1)
	listen, c, err := read()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-in:", err)
		os.Exit(1)
	}
	if c.Exit != 0 {
		fmt.Fprintln(os.Stderr, "stand-in: told to end")
		os.Exit(c.Exit)
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-in:", err)
		os.Exit(1)
	}
	var conduct atomic.Pointer[Conduct]
	conduct.Store(&c)
	began := time.Now()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerEmpty(conn, func() bool {
				c := conduct.Load()
				return !c.Silent && time.Since(began).Seconds() >= c.Ready
			})
		}
	}()
	if c.LiveFor > 0 {
		time.AfterFunc(time.Duration(c.LiveFor*float64(time.Second)), func() { os.Exit(1) })
	}
	counted := 0
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			counted += 100
			failed := 0
			if conduct.Load().Fails {
				failed = counted / 2
			}
			say(map[string]any{
				"level": "info", "message": "counters",
				"counters": map[string]int{"answered": counted - failed, "failed": failed},
			})
		case syscall.SIGHUP:
			if _, c, err := read(); err != nil {
				say(map[string]any{"level": "error", "message": "reload refused", "error": err.Error()})
			} else {
				conduct.Store(&c)
				say(map[string]any{"level": "info", "message": "reloaded"})
			}
		case syscall.SIGTERM:
			if c := conduct.Load(); !c.Deaf {
				_ = l.Close()
				time.Sleep(time.Duration(c.Drain * float64(time.Second)))
				os.Exit(0)
			}
		}
	}
}

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
	_, _ = c.Write(pg.AppendStartupReply(nil))
	for {
		if _, _, err := pg.ReceiveMessage(r, longest); err != nil {
			return
		}
		_, _ = c.Write(pg.AppendReadyForQuery(pg.AppendEmptyQueryResponse(nil)))
	}
}

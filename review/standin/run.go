package standin

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held       = 0 // the rule held
	Broken     = 1 // the rule was broken
	CouldNot   = 2 // the case could not run
	longestRun = 110 * time.Second
)

// Run is one run of a case.
type Run struct {
	Record  *Record
	Trouble bool   // play the disruption
	Seed    uint64 // of what the stand-ins draw
	Folder  string // temporary

	closers []func()
}

// Main plays a case as the main function of its program, and exits with its status. It takes the flags -record, -trouble
// and -seed. Whatever happens, it ends the processes that the case has started.
func Main(play func(*Run) (status int, err error)) {
	record := flag.String("record", "record.txt", "file that tells what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 for a run without the disruption")
	seed := flag.Uint64("seed", 1, "of what the stand-ins draw")
	flag.Parse()
	os.Exit(run(play, *record, *trouble != "0", *seed))
}

func run(play func(*Run) (int, error), path string, trouble bool, seed uint64) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "stoatdale-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	r := &Run{Record: record, Trouble: trouble, Seed: seed, Folder: folder}
	r.Defer(func() { _ = os.RemoveAll(folder) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	ended := make(chan int, 1)
	record.Say("seed %d, trouble %t", seed, trouble)
	go func() {
		status, err := play(r)
		if err != nil {
			record.Say("could not run: %v", err)
			status = CouldNot
		}
		ended <- status
	}()
	status := CouldNot
	select {
	case status = <-ended:
	case s := <-signals:
		record.Say("ended by signal %v", s)
	case <-time.After(longestRun):
		record.Say("the run did not end in time")
	}
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	record.Say("%s", [...]string{"the rule held", "THE RULE WAS BROKEN", "the case could not run"}[status])
	return status
}

// Defer has a function called at the end of the run.
func (r *Run) Defer(end func()) { r.closers = append(r.closers, end) }

// StartRouter starts a router that is killed at the end of the run, if it still runs then.
func (r *Run) StartRouter(document map[string]any) (*Router, error) {
	router, err := StartRouter(r.Folder, "n1", document)
	if err != nil {
		return nil, err
	}
	r.Defer(router.Kill)
	return router, nil
}

// StartHosts starts database servers of one cell, the first of which is listed as the primary, and discovery with their
// list. Each server is reached over a link with the given delay, or without a link if that is 0.
func (r *Run) StartHosts(hosts []*Host, delay time.Duration) (*Discovery, []Instance, error) {
	var rows []Instance
	for i, h := range hosts {
		if err := h.Listen(); err != nil {
			return nil, nil, err
		}
		r.Defer(h.Close)
		row := Instance{ID: h.Name, HostPort: h.Address, Zone: "hall-a", Cell: Cell, Lifecycle: "ready", Recovery: "on"}
		if i == 0 {
			row.Recovery = "off"
		}
		if delay > 0 {
			link, err := NewLink(h.Address, delay)
			if err != nil {
				return nil, nil, err
			}
			r.Defer(link.Close)
			row.HostPort = link.Address
		}
		rows = append(rows, row)
	}
	discovery, err := NewDiscovery(rows)
	if err != nil {
		return nil, nil, err
	}
	r.Defer(discovery.Close)
	return discovery, rows, nil
}

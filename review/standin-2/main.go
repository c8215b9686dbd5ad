// Command standin-2 plays the cases 6 to 10 of the review. It starts the router as a process of its own, with the command
// of the deploy file, and takes the place of clients, database hosts and discovery on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusNotRun   = 2
	argumentsOfRun = 1
)

// longestRun is the time after which a run that has not ended is given up.
const longestRun = 110 * time.Second

// cases holds the function that plays each case, by name. The file of each case adds its own.
var cases = map[string]func(*play) error{}

func main() {
	root := flag.String("root", "", "root of the repository")
	run := flag.String("run", "", "command that starts a router")
	record := flag.String("record", "", "file to which the record is written")
	trouble := flag.String("trouble", "1", "0 plays the case without its disruption")
	flag.Parse()
	// A router dies with the thread that has started it (see startRouter), so that thread has to stay.
	runtime.LockOSThread()
	os.Exit(playCase(flag.Args(), options{root: *root, run: *run, record: *record, trouble: *trouble}))
}

// options are the arguments of the program.
type options struct{ root, run, record, trouble string }

// playCase plays the case that the arguments name and returns the exit status.
func playCase(names []string, o options) int {
	if len(names) != argumentsOfRun || cases[names[0]] == nil {
		fmt.Fprintln(os.Stderr, "name one case")
		return statusNotRun
	}
	p, err := newPlay(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer p.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		p.end()
		os.Exit(statusNotRun)
	}()
	if err := cases[names[0]](p); err != nil {
		p.note("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	if broken := p.breaks(); broken > 0 {
		p.note("result", "the rule was broken %d times", broken)
		return statusBroken
	}
	p.note("result", "the rule held")
	return statusHeld
}

// Command stoatdale is the router, which serves clients on sockets. It is configured by environment variables and the
// file that GW_CONFIG names.
//
// SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reads the configuration again, and SIGUSR1 logs the counters.
// The program exits with status 0 after a graceful shutdown. If it cannot start or continue, it exits with status 1
// and prints one line on standard error.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/service"
)

// signalQueue is the number of signals that can wait while an earlier one is handled.
const signalQueue = 16

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "stoatdale:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, signalQueue) // set up first, since an early SIGHUP would end the program
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	config, err := service.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(goMemoryLimit(config.Limits.Sizes.Memory))
	// Without this, SIGPIPE would end the router when nobody reads its log any more. LogWriter keeps a slow reader of
	// the log from blocking the router.
	signal.Ignore(syscall.SIGPIPE)
	log := zerolog.New(service.LogWriter(os.Stderr.Fd())).With().Timestamp().Logger()
	router, err := service.New(config, log)
	if err != nil {
		return err
	}
	stop, handled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(handled)
		handleSignals(router, signals, stop)
	}()
	err = router.Run()
	close(stop)
	<-handled
	return err
}

// goMemoryLimit returns the Go runtime's soft memory limit for a process memory limit, both in bytes. The rest is left
// for memory that the runtime does not count.
func goMemoryLimit(processMemory int64) int64 { return processMemory / 4 * 3 }

// handleSignals acts on signals until stop is closed: it logs the counters, reloads the configuration or drains.
func handleSignals(router *service.Router, signals <-chan os.Signal, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case received := <-signals:
			switch received {
			case syscall.SIGUSR1:
				router.LogCounters()
			case syscall.SIGHUP:
				router.Reload(os.Getenv)
			default:
				router.Drain()
			}
		}
	}
}

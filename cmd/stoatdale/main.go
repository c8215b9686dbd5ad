// Command stoatdale is the router on sockets. It is configured by the environment and the file that GW_CONFIG names.
//
// SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reads the configuration again, SIGUSR1 logs the counters. It
// ends with status 0 after a graceful shutdown, and with 1 and one line on standard error where it cannot start or go
// on.
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

// signalQueue holds signals that arrive while an earlier one is handled.
const signalQueue = 16

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "stoatdale:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, signalQueue) // before anything else: an early SIGHUP would end the program
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	config, err := service.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(goMemoryLimit(config.Limits.Sizes.Memory))
	// A log that nobody reads any more must not end the router, nor one that is read slowly hold it up.
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

// goMemoryLimit is the part of the process's memory, in bytes, that the Go runtime may take: the rest is for what the
// runtime does not count.
func goMemoryLimit(processMemory int64) int64 { return processMemory / 4 * 3 }

// handleSignals passes signals on to the router until stop is closed.
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

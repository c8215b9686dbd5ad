// Command stoatdale is the router on sockets.
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

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "stoatdale:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 16) // before anything else: an early SIGHUP would end the program
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	start, err := service.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(start.Limits.Sizes.Memory / 4 * 3) // the rest is for what the run time does not count
	signal.Ignore(syscall.SIGPIPE)                          // a log that nobody reads any more must not end the router,
	// nor one that is read slowly hold it up.
	r, err := service.New(start, zerolog.New(service.Lines(os.Stderr.Fd())).With().Timestamp().Logger())
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				r.LogCounters()
			case syscall.SIGHUP:
				r.Reload(os.Getenv)
			default:
				r.Drain()
			}
		}
	}()
	return r.Run()
}

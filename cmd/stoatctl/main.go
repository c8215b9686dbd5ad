// Command stoatctl manages fleets of routers. It is both the operators' command line tool and the agent that runs
// routers on a machine.
package main

import (
	"os"

	"stoatdale.example/stoatdale/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

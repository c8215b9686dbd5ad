// Command stoatctl manages fleets of routers: it is the operators' tool and the agent in one.
package main

import (
	"os"

	"stoatdale.example/stoatdale/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

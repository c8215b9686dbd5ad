// Command adapter hosts router instances on the simulator's wire.
package main

import (
	"bufio"
	"fmt"
	"os"

	"stoatdale.example/stoatdale/internal/adapter"
)

func main() {
	in := bufio.NewReaderSize(os.Stdin, 1<<20)
	if err := adapter.Serve(in, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

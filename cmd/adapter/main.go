// Command adapter runs router instances for the simulator. It reads batches from standard input and writes replies to
// standard output until the input ends. If a batch is invalid, it exits with status 1 and prints one line on standard
// error.
package main

import (
	"bufio"
	"fmt"
	"os"

	"stoatdale.example/stoatdale/internal/simadapter"
)

const inputBufferSize = 1 << 20

func main() {
	in := bufio.NewReaderSize(os.Stdin, inputBufferSize)
	if err := simadapter.Serve(in, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

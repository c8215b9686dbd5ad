// Command adapter hosts router instances for the simulator: it reads batches from standard input and writes replies to
// standard output, until the input ends. It ends with status 1 and one line on standard error where a batch is invalid.
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

// Package fixed sets the seed of all rapid tests, so that the same code always passes or always fails. Random seeds would
// fail the build of an unrelated change. Tests import the package for its side effect. To test with another seed, set it
// on the command line: go test ./internal/modelcheck/models -rapid.seed 7 -rapid.checks 20000.
package fixed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // defines the flags that init sets
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("fixed: %s: %v", name, err))
		}
	}
}

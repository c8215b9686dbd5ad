// Package fixed gives the tests that draw by chance one seed, so that the same code always has the same verdict:
// what chance finds belongs to those who look for it, not to whoever lands next. A test imports it for its effect.
// Other draws are taken by hand: go test ./internal/modelcheck/models -rapid.seed 7 -rapid.checks 20000.
package fixed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // whose flags these are
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("fixed: %s: %v", name, err))
		}
	}
}

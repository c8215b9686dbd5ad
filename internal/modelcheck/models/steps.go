package models

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/modelcheck"
)

// stepList collects the names of the steps that are possible now, in order.
type stepList []string

func (l *stepList) add(format string, args ...any) { *l = append(*l, fmt.Sprintf(format, args...)) }

// addIf adds a step if it is possible.
func (l *stepList) addIf(possible bool, format string, args ...any) {
	if possible {
		l.add(format, args...)
	}
}

// parseStep returns a step's kind and its first two numbers, which are 0 where the step has none.
func parseStep(step string) (kind string, first, second int) {
	kind = modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(kind):], "%d %d", &first, &second) // a step may have fewer numbers or none
	return kind, first, second
}

package models

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/modelcheck"
)

// stepList gathers the names of the steps that may happen now, in order.
type stepList []string

func (l *stepList) add(format string, args ...any) { *l = append(*l, fmt.Sprintf(format, args...)) }

// addIf adds a step that may happen on a condition.
func (l *stepList) addIf(may bool, format string, args ...any) {
	if may {
		l.add(format, args...)
	}
}

// parseStep returns a step's kind and its numbers; those that it does not have are 0.
func parseStep(step string) (kind string, first, second int) {
	kind = modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(kind):], "%d %d", &first, &second) // a step may have none
	return kind, first, second
}

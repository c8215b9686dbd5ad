package standin

import (
	"fmt"
	"strings"
	"time"
)

// Group is a command group in the settings of a deployment. Times are in milliseconds.
type Group struct {
	Name    string
	Needs   string // mutate, strong, causal, lag_bound or eventual
	Effect  string // pure, token or side_effect
	Aim     float64
	Timeout float64
	Bound   float64 // of lag_bound
	Window  float64 // of token
	Worth   float64
	Late    float64 // share of the worth that is paid after the aim
}

const nanosecondsPerMillisecond = 1e6

// Settings returns the settings of a small deployment with these groups. The figures are of the size that the deployments'
// pages have.
func Settings(groups []Group) map[string]any {
	classes, needs, bounds := []any{}, []string{}, []float64{}
	for _, g := range groups {
		class := map[string]any{
			"name": g.Name, "effect": g.Effect, "targetNs": g.Aim * nanosecondsPerMillisecond,
			"deadlineNs": g.Timeout * nanosecondsPerMillisecond, "worth": g.Worth, "lateWorth": g.Late,
			"memorySpanNs": g.Window * nanosecondsPerMillisecond, "stream": false,
		}
		if g.Effect == "token" {
			class["keyScope"] = "cell"
		}
		classes = append(classes, class)
		needs = append(needs, g.Needs)
		bounds = append(bounds, g.Bound*nanosecondsPerMillisecond)
	}
	return map[string]any{
		"balancers": 1, "me": 0, "zone": 0, "zones": []string{"hall-a"}, "tickNs": 5e6, "discovery": "push",
		"classes": classes,
		"familyInfo": map[string]any{
			"tokens": "kept", "guards": "none", "needsByClass": needs, "classBoundNs": bounds, "zeroNs": 0,
			"tellsPosition": true, "roleListed": "trailing", "holdsForNs": 0,
		},
		"loadInfo":   map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
		"scoreParts": map[string]any{"whole": 0.65, "worstClass": 0.2},
		"limits": map[string]any{
			"mostTries": 8, "dialTimeoutNs": 250e6, "connIdleNs": 15e9, "cancel": true, "probes": true,
			"retryAfter": true, "maxRetryAfterNs": 1e9, "secondCopies": false,
		},
		"invariants": map[string]any{
			"answerSlackNs": 20e6, "stopSendingWithinNs": 2e9, "startCapacity": 0.15, "rampTimeNs": 13e9,
			"overloadFactor": 2, "fallNs": 3e9, "askWithinNs": 10e9,
		},
	}
}

// Document returns a router's configuration, without its name, address and seed.
func Document(discovery string, settings map[string]any, memoryMB int, known []Instance) map[string]any {
	return map[string]any{
		"discovery": discovery, "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"known":  List{Generation: 1, Reset: true, Instances: known},
	}
}

// Cell is the number of the cell that all requests name.
const Cell = 2

// Read returns the text of a read and Write that of a write with a key. The session is the quoted key.
func Read(key, id, group string, timeout time.Duration) string {
	return fmt.Sprintf("SELECT doc FROM items WHERE id = '%s' /* id=%s,c=%s,d=%d,cluster=%d */",
		key, id, group, timeout.Milliseconds(), Cell)
}

// Write returns the text of a write that bears an idempotency key.
func Write(key, id, group string, timeout time.Duration) string {
	return fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('%s', '\x9f03') RETURNING doc /* id=%s,c=%s,d=%d,k=%s,cluster=%d */`,
		key, id, group, timeout.Milliseconds(), id, Cell)
}

// QuotedKey returns the first quoted value of a statement.
func QuotedKey(text string) string {
	_, rest, _ := strings.Cut(text, "'")
	key, _, _ := strings.Cut(rest, "'")
	return key
}

// Report returns the load report of a server that has applied the log up to a time.
func Report(applied time.Time, primary bool) []byte {
	flag := 0
	if primary {
		flag = 1
	}
	const millisecondsPerSecond = 1000
	return Row(fmt.Sprintf("x0=%.3f,x1=%d", float64(applied.UnixMilli())/millisecondsPerSecond, flag), Status{})
}

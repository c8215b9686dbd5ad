package testserver

import (
	"encoding/json"
	"maps"
)

// Command groups of Deployment: commands of look read from any replica, those of order are mutating.
const (
	Look  = "look"
	Order = "order"
)

// Deployment returns a configuration for routers that use stand-ins, with two command groups and one shard, number 2.
// timeout is the client timeout in seconds. The keys of extraKeys are added to the document.
func Deployment(discovery string, timeout float64, extraKeys map[string]any) map[string]any {
	group := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "targetNs": timeout / 2 * 1e9, "deadlineNs": timeout * 1e9, "worth": 1}
	}
	settings := map[string]any{
		"balancers": 1, "tickNs": 5e6, "discovery": "push",
		"classes": []any{group(Look, "pure"), group(Order, "side_effect")},
		"familyInfo": map[string]any{
			"tokens": "kept", "guards": "none", "needsByClass": []string{"eventual", "mutate"},
			"classBoundNs": []int{0, 0},
		},
		"loadInfo": map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
		"limits": map[string]any{
			"mostTries": 4, "dialTimeoutNs": 1e9, "connIdleNs": 60e9, "cancel": true,
			"probes": false, "retryAfter": true, "maxRetryAfterNs": 1e9,
		},
		"invariants": map[string]any{"startCapacity": 0.2, "rampTimeNs": 1e9, "overloadFactor": 2, "fallNs": 1e9},
	}
	document := map[string]any{
		"discovery": discovery, "settings": settings, "limits": map[string]any{"memory_mb": 48, "sockets": 256},
		"known": json.RawMessage(List(0)),
	}
	maps.Copy(document, extraKeys)
	return document
}

// JSON encodes a document.
func JSON(document map[string]any) []byte {
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err) // documents hold only values that can be encoded
	}
	return raw
}

package model

import "math"

// Tally holds the counts of a run. Benefits are sums of priority weights.
type Tally struct {
	Commands     int     `json:"asked"`            // commands sent by clients, retries not counted
	Answered     int     `json:"answered"`         // commands answered, on the first attempt of the client or a retry
	InTarget     int     `json:"in_target"`        // commands answered within the latency objective
	Attempts     int     `json:"dispatches"`       // attempts at backends
	PrimaryReads int     `json:"reads_on_primary"` // read attempts at primaries
	Reads        int     `json:"reads_dispatched"` // read attempts
	Throttled    int     `json:"throttled"`        // rejections by routers, each retry counted
	Failed       int     `json:"failed"`           // errors that routers returned to clients
	HealthChecks int     `json:"probes"`           // health checks
	Benefit      float64 `json:"benefit"`          // benefit if all commands were answered within their objective
	Earned       float64 `json:"earned"`           // benefit of the answers
	Events       int     `json:"events"`           // simulated events
	// Series holds benefits by the second of the client's first attempt.
	Series []Second `json:"series"`
	// Times holds response times in seconds by group, from the client's first attempt, in the order of the answers.
	Times [][]float64 `json:"-"`
}

// Second is the benefit of the commands that clients sent in one second, and the part of it that was earned then or later.
type Second struct {
	Benefit float64 `json:"benefit"`
	Earned  float64 `json:"earned"`
}

// Service returns the share of the benefit that was earned, from 0 to 1.
func (t *Tally) Service() float64 { return t.Earned / math.Max(t.Benefit, math.SmallestNonzeroFloat64) }

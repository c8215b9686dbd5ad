package model

import "math"

// Tally is the result of a run in counts. Benefits are sums of priority weights.
type Tally struct {
	Asked      int     `json:"asked"`    // by clients, their repeats not counted
	Answered   int     `json:"answered"` // of them, in the end
	InTarget   int     `json:"in_target"`
	Dispatches int     `json:"dispatches"`
	Primary    int     `json:"reads_on_primary"`
	Reads      int     `json:"reads_dispatched"`
	Throttled  int     `json:"throttled"`
	Failed     int     `json:"failed"`
	Probes     int     `json:"probes"`
	Benefit    float64 `json:"benefit"` // that was asked for
	Earned     float64 `json:"earned"`
	Events     int     `json:"events"`
	// Series is by the second in which clients first asked.
	Series []Second `json:"series"`
	// Times of answers from the first asking on, by group, in the order in which they came.
	Times [][]float64 `json:"-"`
}

// Second is what was asked for in one, and how much of that was earned, then or later.
type Second struct {
	Benefit float64 `json:"benefit"`
	Earned  float64 `json:"earned"`
}

// Service is the share of the benefit that was earned, from 0 to 1.
func (t *Tally) Service() float64 { return t.Earned / math.Max(t.Benefit, math.SmallestNonzeroFloat64) }

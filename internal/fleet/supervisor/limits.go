package supervisor

// Limits are the timeouts, intervals and counts of a supervisor.
type Limits struct {
	ReadyTimeoutSeconds     float64 // time for a started or reloaded router to become ready; after it, the step fails
	TerminationGraceSeconds float64 // time after SIGTERM within which a router stops accepting connections
	HealthCheckSeconds      float64 // interval between health checks of a router that is not known to be ready
	CounterReadSeconds      float64 // interval between readings of a router's counters
	RecentSeconds           float64 // window of Observation.RecentCommands
	MinBackoffSeconds       float64 // delay before a crashed router is started again; doubles with each crash in a row
	MaxBackoffSeconds       float64 // longest delay before a crashed router is started again
	StableSeconds           float64 // if a router was ready for this long before it exits, its earlier crashes no longer count
	MaxCrashes              int     // after more crashes in a row than this, the router is not started again
	MaxMissedHealthChecks   int     // after this number of failed health checks in a row, a router is no longer ready
	KillRetrySeconds        float64 // interval between attempts to kill a process
}

// DefaultLimits returns limits for routers that start within a second.
func DefaultLimits() Limits {
	return Limits{
		ReadyTimeoutSeconds:     10,
		TerminationGraceSeconds: 2,
		HealthCheckSeconds:      0.1,
		CounterReadSeconds:      1,
		RecentSeconds:           10,
		MinBackoffSeconds:       0.25,
		MaxBackoffSeconds:       30,
		StableSeconds:           60,
		MaxCrashes:              6,
		MaxMissedHealthChecks:   10,
		KillRetrySeconds:        5,
	}
}

package supervisor

// Limits are the timeouts, intervals and counts of a supervisor.
type Limits struct {
	ReadyTimeoutSeconds     float64 // for a started or reloaded router, before its step has failed
	TerminationGraceSeconds float64 // after it, a router that was told to end accepts no connections
	HealthCheckSeconds      float64 // between health checks of a router that is not known to be ready
	CounterReadSeconds      float64 // between readings of a router's counters
	RecentSeconds           float64 // that Observation.RecentCommands covers
	MinBackoffSeconds       float64 // before a router that exited by itself is started again; doubles with each exit
	MaxBackoffSeconds       float64 // the longest backoff
	StableSeconds           float64 // that a router must be ready for its earlier exits to be forgotten
	MaxCrashes              int     // exits in a row, after which the router is not started again
	MaxMissedHealthChecks   int     // in a row, after which a router no longer counts as ready
	KillRetrySeconds        float64 // between attempts to kill a process
}

// DefaultLimits suit routers that start within a second.
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

package tend

// Limits are times in seconds, and counts.
type Limits struct {
	ReadyTimeoutSeconds     float64 // that a started router may take until it answers
	TerminationGraceSeconds float64 // after which one that was told to end no longer accepts
	HealthCheckSeconds      float64 // between looks at a router
	CounterReadSeconds      float64 // between readings of its counters
	RecentSeconds           float64 // that Sight.Recent goes back
	MinBackoffSeconds       float64 // first wait before a router that ended by itself is started again; it doubles
	MaxBackoffSeconds       float64 // of these waits
	StableSeconds           float64 // that a router must serve for its endings to be forgotten
	MaxCrashes              int     // endings in a row after which it is no longer started
	MaxMissedHealthChecks   int     // probes in a row that a ready router may leave unanswered
	KillRetrySeconds        float64 // for a killed process to go, before it is killed again
}

// DefaultLimits suit routers that start within a second.
func DefaultLimits() Limits {
	return Limits{
		ReadyTimeoutSeconds: 10, TerminationGraceSeconds: 2, HealthCheckSeconds: 0.1, CounterReadSeconds: 1, RecentSeconds: 10, MinBackoffSeconds: 0.25, MaxBackoffSeconds: 30, StableSeconds: 60, MaxCrashes: 6,
		MaxMissedHealthChecks: 10, KillRetrySeconds: 5,
	}
}

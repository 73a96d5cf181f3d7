package kctmetric

// Full names of the metrics that the burn report reads.
const (
	NameObjective      = Namespace + "_objective_total"
	NameAnswers        = Namespace + "_answers_total"
	NameLatency        = Namespace + "_latency_seconds"
	NameAttempts       = Namespace + "_attempts_total"
	NameUrgent         = Namespace + "_urgent_total"
	NameParts          = Namespace + "_parts_total"
	NameObjectiveShare = Namespace + "_objective_share"
	NameViolations     = Namespace + "_violations_total"
	// NameStartTime is set by the process collector.
	NameStartTime = "process_start_time_seconds"
)

package pipeline

// JudgeQuery asks whether an answer is good enough.
type JudgeQuery struct {
	RequestID string
	Model     string
	Version   string
	Class     string
	Prompt    string
	Answer    string
}

// RatingRequest is a delivered answer that a rating is wanted for.
type RatingRequest struct {
	RequestID string
	Customer  string
	Class     string
	Model     string
	Version   string
	Answer    string
	// Plan says how the answer came about, for the cascade to learn from.
	Plan PlanKind
	// FirstModel is the plan's first model.
	FirstModel string
}

// PlanKind says how a delivered answer came about.
type PlanKind string

// The ways an answer comes about.
const (
	PlanDirect    PlanKind = "Direct"
	PlanAccepted  PlanKind = "Accepted"
	PlanEscalated PlanKind = "Escalated"
)

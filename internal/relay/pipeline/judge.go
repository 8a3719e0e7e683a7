package pipeline

// JudgeQuery holds an answer for the judge, with its prompt.
type JudgeQuery struct {
	RequestID string
	Model     string
	Version   string
	Class     string
	Prompt    string
	Answer    string
}

// RatingRequest is a delivered answer that is to be rated.
type RatingRequest struct {
	RequestID string
	Customer  string
	Class     string
	Model     string
	Version   string
	Answer    string
	// Plan is how the answer was produced. The cascade learns from it.
	Plan PlanKind
	// FirstModel is the first model of the plan.
	FirstModel string
}

// PlanKind is how a delivered answer was produced.
type PlanKind string

// The plan kinds: the first model answered without a judge, the judge accepted
// the answer, or a later model of the plan answered.
const (
	PlanDirect    PlanKind = "Direct"
	PlanAccepted  PlanKind = "Accepted"
	PlanEscalated PlanKind = "Escalated"
)

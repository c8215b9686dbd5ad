package rollout

// Action is what is to be done next in a rollout.
type Action int

// Actions. For all but ActionWait and ActionResendStep, Decision.Rollout must be stored by a majority of agents first.
const (
	ActionWait          Action = iota // observe again
	ActionBeginStep                   // store the rollout with its new step
	ActionResendStep                  // send Decision.Step, which its agent has not begun
	ActionCompleteStep                // the current step is over: store that
	ActionFinish                      // store the rollout's new state: it has ended or pauses
	ActionStartRollback               // store that the rollout rolls back from here
)

// Decision is what to do next.
type Decision struct {
	Action  Action
	Step    Step    // to be sent for ActionResendStep; else the rollout's current step
	Rollout Rollout // as it is to be stored
	Reason  Reason  // of a wait, a pause, an end or a rollback
}

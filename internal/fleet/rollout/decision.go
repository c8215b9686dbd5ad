package rollout

// Action is what a coordinator has to do next in a rollout.
type Action int

// Actions. Except for ActionWait and ActionResendStep, a majority of agents must store Decision.Rollout before the
// decision takes effect.
const (
	ActionWait          Action = iota // do nothing until the next observations
	ActionBeginStep                   // store the rollout with its new step
	ActionResendStep                  // send Decision.Step, which the instance's agent has not begun
	ActionCompleteStep                // the current step has ended: store the rollout without it
	ActionFinish                      // store the rollout's new state: it has ended or paused
	ActionStartRollback               // store the rollout as rolling back
)

// Decision is a planner's decision about what to do next.
type Decision struct {
	Action  Action
	Step    Step    // the step to send for ActionResendStep; otherwise the rollout's current step
	Rollout Rollout // the rollout as the agents must store it
	Reason  Reason  // why the rollout waits, pauses, ends or rolls back
}

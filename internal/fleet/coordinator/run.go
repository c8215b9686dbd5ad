package coordinator

import (
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// startRun returns the rollout with which a run of the task begins, given the stored rollout. If the task cannot run, it
// returns the outcome that holds the reason.
func (c *Config) startRun(stored protocol.Rollout) (protocol.Rollout, *Outcome) {
	if c.Task.Operation == OperationBegin {
		return c.beginRollout(stored)
	}
	return c.continueRollout(stored)
}

func (c *Config) beginRollout(stored protocol.Rollout) (protocol.Rollout, *Outcome) {
	if stored.ID != "" && !stored.State.Terminal() {
		return stored, &Outcome{Kind: OutcomeUnfinishedRollout, Rollout: stored}
	}
	if reason := rollout.CheckFeasible(c.Fleet, c.Task.ExcludedInstances); reason.Kind != rollout.ReasonNone {
		return stored, &Outcome{Kind: OutcomeInfeasible, Reason: reason}
	}
	begun := c.Task.Rollout
	begun.State = rollout.Running
	begun.Run = 1
	begun.ExcludedInstances = c.Task.ExcludedInstances
	return begun, nil
}

func (c *Config) continueRollout(current protocol.Rollout) (protocol.Rollout, *Outcome) {
	ended := current.State.Terminal() && c.Task.Operation != OperationRollback
	if current.ID == "" || ended {
		return current, &Outcome{Kind: OutcomeNoRollout, Rollout: current}
	}
	if current.InstancesDigest != c.Task.FleetDigest {
		return current, &Outcome{Kind: OutcomeOtherFleet, Rollout: current}
	}
	current.Run++
	current.StepsNotApplied = 0
	byOperator := rollout.Reason{Kind: rollout.ReasonOperator}
	switch c.Task.Operation {
	case OperationPause:
		current.State, current.Reason, current.RequestedBy = rollout.Paused, byOperator, c.Task.Operator
		return current, nil
	case OperationAbort:
		current.State, current.Reason, current.RequestedBy = rollout.Aborted, byOperator, c.Task.Operator
		return current, nil
	case OperationRollback:
		if !current.RollingBack {
			current.RollingBack, current.RollbackCause = true, byOperator
		}
		current.RequestedBy = c.Task.Operator
	case OperationBegin, OperationResume:
	}
	if reason := rollout.CheckFeasible(c.Fleet, c.Task.ExcludedInstances); reason.Kind != rollout.ReasonNone {
		return current, &Outcome{Kind: OutcomeInfeasible, Reason: reason, Rollout: current}
	}
	current.State = rollout.Running
	current.ExcludedInstances = c.Task.ExcludedInstances
	return current, nil
}

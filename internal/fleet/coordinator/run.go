package coordinator

import (
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// startRun returns the rollout with which a run of the task begins, given the stored rollout. If the task cannot run, it
// returns the outcome that says why.
func (c *Config) startRun(r protocol.Rollout) (protocol.Rollout, *Outcome) {
	if c.Task.Operation == OperationBegin {
		return c.beginRollout(r)
	}
	return c.continueRollout(r)
}

func (c *Config) beginRollout(stored protocol.Rollout) (protocol.Rollout, *Outcome) {
	if stored.ID != "" && !stored.State.Terminal() {
		return stored, &Outcome{Kind: OutcomeUnfinishedRollout, Rollout: stored}
	}
	if reason := rollout.CheckFeasible(c.Fleet, c.Task.ExcludedInstances); reason.Kind != rollout.ReasonNone {
		return stored, &Outcome{Kind: OutcomeInfeasible, Reason: reason}
	}
	r := c.Task.Rollout
	r.State = rollout.Running
	r.Run = 1
	r.ExcludedInstances = c.Task.ExcludedInstances
	return r, nil
}

func (c *Config) continueRollout(r protocol.Rollout) (protocol.Rollout, *Outcome) {
	ended := r.State.Terminal() && c.Task.Operation != OperationRollback
	if r.ID == "" || ended {
		return r, &Outcome{Kind: OutcomeNoRollout, Rollout: r}
	}
	if r.InstancesDigest != c.Task.FleetDigest {
		return r, &Outcome{Kind: OutcomeOtherFleet, Rollout: r}
	}
	r.Run++
	r.StepsNotApplied = 0
	byOperator := rollout.Reason{Kind: rollout.ReasonOperator}
	switch c.Task.Operation {
	case OperationPause:
		r.State, r.Reason, r.RequestedBy = rollout.Paused, byOperator, c.Task.Operator
		return r, nil
	case OperationAbort:
		r.State, r.Reason, r.RequestedBy = rollout.Aborted, byOperator, c.Task.Operator
		return r, nil
	case OperationRollback:
		if !r.RollingBack {
			r.RollingBack, r.RollbackCause = true, byOperator
		}
		r.RequestedBy = c.Task.Operator
	case OperationBegin, OperationResume:
	}
	if reason := rollout.CheckFeasible(c.Fleet, c.Task.ExcludedInstances); reason.Kind != rollout.ReasonNone {
		return r, &Outcome{Kind: OutcomeInfeasible, Reason: reason, Rollout: r}
	}
	r.State = rollout.Running
	r.ExcludedInstances = c.Task.ExcludedInstances
	return r, nil
}

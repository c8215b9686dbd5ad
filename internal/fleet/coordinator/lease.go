package coordinator

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// maxLostCampaigns is the number of consecutive campaigns, lost while no other holder had the lease, after which a
// coordinator that has never had the lease gives up. One that has had it gives up after Timing.MajorityTimeoutSeconds.
const maxLostCampaigns = 6

// minBackoffPolls is the shortest backoff after a lost campaign, in poll intervals.
const minBackoffPolls = 0.2

// countReplies returns the number of agents that have replied in this phase or to which a call has failed (settled), and the
// number of those that have replied.
func (c *Coordinator) countReplies() (settled, replied int) {
	for i := range c.agents {
		if !c.agents[i].settled {
			continue
		}
		settled++
		if c.agents[i].failure == "" {
			replied++
		}
	}
	return settled, replied
}

// checkStatuses requests the lease once every agent has reported its status or cannot be reached. If another holder has the
// lease, the coordinator ends instead.
func (c *Coordinator) checkStatuses(now float64) {
	settled, replied := c.countReplies()
	if settled < len(c.agents) {
		return
	}
	if replied < lease.Majority(len(c.agents)) {
		c.finish(Outcome{Kind: OutcomeNoMajority})
		return
	}
	highestEpoch, holder, held := c.otherHolder()
	hadLease := c.planner != nil
	takeover := c.config.Task.Takeover && !hadLease
	if !held || takeover {
		c.requestLease(now, highestEpoch+1, takeover)
		return
	}
	kind := OutcomeLeaseHeld
	if hadLease {
		kind = OutcomeFenced
	}
	c.finish(Outcome{Kind: kind, Holder: holder, Rollout: c.newestKnownRollout()})
}

// requestLease starts a campaign for the lease under an epoch.
func (c *Coordinator) requestLease(now float64, epoch uint64, takeover bool) {
	request := lease.Request{Epoch: epoch, Holder: c.config.Holder, Takeover: takeover}
	c.campaign = lease.NewCampaign(request, len(c.agents))
	c.storing = nil
	c.stepToSend = rollout.Step{}
	for i := range c.observations {
		c.observations[i].SeenAt = math.Inf(-1) // an observation under another epoch does not count under this one
	}
	c.enter(now, phaseRequestingLease)
}

// checkCampaign acts on the campaign's result once every agent has replied to the request or cannot be reached.
func (c *Coordinator) checkCampaign(now float64) {
	if settled, _ := c.countReplies(); settled < len(c.agents) {
		return
	}
	switch c.campaign.Result() {
	case lease.Pending:
	case lease.Won:
		c.campaignWon(now)
	case lease.Lost:
		c.campaignLost(now)
	}
}

// otherHolder returns the highest epoch that agents report, and the lease of another holder that lasts longest. held is
// true if a majority of agents reports a lease of the same other holder.
func (c *Coordinator) otherHolder() (highestEpoch uint64, holder lease.State, held bool) {
	reports := map[string]int{}
	for i := range c.agents {
		state := c.agents[i].leaseState
		highestEpoch = max(highestEpoch, state.Epoch)
		if !state.Held || state.Holder == c.config.Holder {
			continue
		}
		reports[state.Holder]++
		if state.RemainingSeconds > holder.RemainingSeconds || holder.Holder == "" {
			holder = state
		}
		if reports[state.Holder] >= lease.Majority(len(c.agents)) {
			held = true
		}
	}
	return highestEpoch, holder, held
}

// newestKnownRollout returns the rollout of the newest record that any agent reports, to show it to an operator. Possibly
// no majority has stored the record. If the record cannot be decoded, it returns an empty rollout.
func (c *Coordinator) newestKnownRollout() protocol.Rollout {
	var newest lease.Record
	for i := range c.agents {
		if newest.Version.Before(c.agents[i].record.Version) {
			newest = c.agents[i].record
		}
	}
	r, _ := decodeRollout(newest)
	return r
}

func (c *Coordinator) campaignLost(now float64) {
	_, holder, held := c.otherHolder()
	switch {
	case held && c.planner != nil:
		c.release(now, Outcome{Kind: OutcomeFenced, Holder: holder, Rollout: c.rollout})
	case held:
		c.release(now, Outcome{Kind: OutcomeLeaseHeld, Holder: holder, Rollout: c.newestKnownRollout()})
	case c.lostCampaigns >= maxLostCampaigns:
		c.release(now, Outcome{Kind: OutcomeNoMajority, Holder: holder, Rollout: c.rollout})
	default: // several coordinators requested the lease at the same time, or too few agents can be reached
		c.lostCampaigns++
		c.release(now, Outcome{Kind: OutcomeNoMajority})
	}
}

// campaignWon starts to drive the rollout of the newest record, after changing it as the task requires.
func (c *Coordinator) campaignWon(now float64) {
	c.lostCampaigns = 0
	c.lastMajority = now
	newest := c.campaign.NewestRecord()
	c.events = append(c.events, Event{At: now, AcquiredEpoch: c.campaign.Request.Epoch, RecordVersion: newest.Version})
	current, err := decodeRollout(newest)
	if err != nil {
		c.release(now, Outcome{Kind: OutcomeNoRollout, Reason: rollout.Reason{Detail: err.Error()}})
		return
	}
	if c.planner == nil {
		var failure *Outcome
		if current, failure = c.config.startRun(current); failure != nil {
			c.release(now, *failure)
			return
		}
	} else if current.ID != c.rollout.ID || current.Run != c.rollout.Run {
		c.release(now, Outcome{Kind: OutcomeFenced, Rollout: current})
		return
	}
	c.planner = rollout.NewPlanner(c.config.Fleet, current.Rollout)
	c.rollout = current
	c.recordNumber = 0
	c.enter(now, phaseRunning)
	c.storeRollout(now, current, rollout.ActionWait, rollout.Reason{})
}

// release starts to release the lease at the agents that granted it. After that the coordinator ends with the outcome, or
// polls again after a backoff.
func (c *Coordinator) release(now float64, o Outcome) {
	c.outcome = o
	c.enter(now, phaseReleasing)
	for i := range c.agents {
		c.agents[i].released = !c.agents[i].granted
	}
	c.checkReleased(now)
}

func (c *Coordinator) checkReleased(now float64) {
	for i := range c.agents {
		if !c.agents[i].released {
			return
		}
	}
	backoffPolls, retry := c.retryAfterRelease(now)
	if !retry {
		c.finish(c.outcome)
		return
	}
	c.phase = phaseBackoff
	c.phaseTime = now + c.config.Timing.PollSeconds*backoffPolls
}

// retryAfterRelease reports whether the coordinator tries again to reach a majority, and after how many poll intervals. The
// backoffs are random, and grow before the first lease; otherwise competing coordinators could block one another forever.
func (c *Coordinator) retryAfterRelease(now float64) (backoffPolls float64, retry bool) {
	if c.outcome.Kind != OutcomeNoMajority {
		return 0, false
	}
	if c.planner == nil {
		if c.lostCampaigns == 0 || c.lostCampaigns >= maxLostCampaigns {
			return 0, false
		}
		return minBackoffPolls + c.config.Random()*float64(int(1)<<c.lostCampaigns), true
	}
	if now-c.lastMajority >= c.config.Timing.MajorityTimeoutSeconds {
		return 0, false
	}
	return minBackoffPolls + c.config.Random(), true
}

// finish ends the coordinator with an outcome, to which it adds the failures of calls.
func (c *Coordinator) finish(o Outcome) {
	for i := range c.agents {
		if failure := c.agents[i].failure; failure != "" {
			o.Failures = append(o.Failures, failure)
		}
	}
	slices.Sort(o.Failures)
	o.Failures = slices.Compact(o.Failures)
	c.outcome = o
	c.phase = phaseEnded
}

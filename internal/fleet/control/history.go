package control

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
)

// History lists the revisions and rollouts that the agents have stored, the newest first. The revisions have no content.
type History struct {
	Revisions []protocol.Revision
	Rollouts  []protocol.Rollout
}

// History collects the history from all agents. If every call fails, it returns the errors of all of them.
func (c *Client) History(ctx context.Context) (History, error) {
	revisions := map[string]protocol.Revision{} // by digest
	rollouts := map[string]protocol.Rollout{}   // by ID
	var failures []error
	answers := c.Broadcast(ctx, protocol.Request{Verb: protocol.HistoryVerb})
	for _, answer := range answers {
		if answer.Err != nil {
			failures = append(failures, answer.Err)
			continue
		}
		for _, r := range answer.Reply.Revisions {
			if known, found := revisions[r.Digest]; !found || known.PushedAt < r.PushedAt {
				revisions[r.Digest] = r
			}
		}
		for _, r := range answer.Reply.Rollouts {
			if known, found := rollouts[r.ID]; !found || isLater(known, r) {
				rollouts[r.ID] = r
			}
		}
	}
	if len(failures) == len(answers) {
		return History{}, errors.Join(failures...)
	}
	return History{
		Revisions: slices.SortedFunc(maps.Values(revisions), newerRevisionFirst),
		Rollouts:  slices.SortedFunc(maps.Values(rollouts), newerRolloutFirst),
	}, nil
}

// isLater reports whether other replaces known, a record of the same rollout. It does if its run is later or, within one
// run, if more steps have begun or it says that the rollout has ended.
func isLater(known, other protocol.Rollout) bool {
	if known.Run != other.Run {
		return known.Run < other.Run
	}
	return known.StepsBegun < other.StepsBegun || other.State.Terminal()
}

func newerRevisionFirst(a, b protocol.Revision) int {
	return cmp.Or(cmp.Compare(b.PushedAt, a.PushedAt), cmp.Compare(a.Digest, b.Digest))
}

func newerRolloutFirst(a, b protocol.Rollout) int {
	return cmp.Or(cmp.Compare(b.StartedAt, a.StartedAt), cmp.Compare(a.ID, b.ID))
}

package control

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
)

// History is what the agents keep of revisions and rollouts, each newest first. Revisions are without their contents.
type History struct {
	Revisions []protocol.Revision
	Rollouts  []protocol.Rollout
}

// History gathers the history of all agents. It fails if none can be reached, with the errors of all.
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

// isLater tells whether a record of the rollout was written after the known one.
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

// Package control is the operator's side of a fleet: it asks all agents, shows how the fleet stands, stores revisions at the
// agents and drives rollouts.
package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"stoatdale.example/stoatdale/internal/fleet/api"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/pki"
)

const (
	maxConcurrentCalls = 128         // of agents at the same time
	minCallTimeout     = time.Second // of a call, for whatever poll interval
	pollsPerCall       = 4           // poll intervals that a call may take
	largeCallFactor    = 5           // by which calls that carry revisions may take longer
)

// Client speaks to the agents of a fleet for one operator. Its methods may be called from several goroutines.
type Client struct {
	Fleet       *inventory.Fleet
	Operator    string
	agents      []*api.Client // in the order of the fleet file
	callTimeout time.Duration
}

// New returns a client that has not connected to any agent. It fails if the operator's certificate in the folder cannot be
// used now.
func New(f *inventory.Fleet, folder pki.Folder, operator string) (*Client, error) {
	source := folder.Credentials(pki.Operator, operator)
	if err := source.Check(); err != nil {
		return nil, fmt.Errorf("operator %s: %w", operator, err)
	}
	pollInterval := time.Duration(float64(f.Times.PollInterval) * float64(time.Second))
	c := &Client{Fleet: f, Operator: operator, callTimeout: max(minCallTimeout, pollsPerCall*pollInterval)}
	for _, agent := range f.Agents {
		c.agents = append(c.agents, api.NewClient(agent.Name, agent.Listen.String(), source, api.SupportedVersions))
	}
	return c, nil
}

// Close closes the connections to the agents.
func (c *Client) Close() {
	for _, agent := range c.agents {
		agent.Close()
	}
}

// Answer is what one agent answered to a request.
type Answer struct {
	Agent string
	Reply protocol.Reply
	Err   error // the agent could not be asked, or reports a failure; of type *api.AgentError
}

// Broadcast sends a request to every agent. The answers are in the order of the fleet file.
func (c *Client) Broadcast(ctx context.Context, request protocol.Request) []Answer {
	answers := make([]Answer, len(c.agents))
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for i, agent := range c.agents {
		calls.Go(func() error {
			reply, err := c.call(ctx, i, request)
			if err == nil && reply.Failure != "" {
				err = &api.AgentError{Agent: agent.Agent, Err: errors.New(reply.Failure)}
			}
			answers[i] = Answer{Agent: agent.Agent, Reply: reply, Err: err}
			return nil
		})
	}
	_ = calls.Wait() // errors stand in the answers
	return answers
}

// call sends a request to one agent, by its index.
func (c *Client) call(ctx context.Context, agent int, request protocol.Request) (protocol.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(request.Verb))
	defer cancel()
	return c.agents[agent].Call(ctx, request)
}

func (c *Client) timeout(verb protocol.Verb) time.Duration {
	switch verb {
	case protocol.PutRevisionVerb, protocol.GetRevisionVerb, protocol.HistoryVerb:
		return largeCallFactor * c.callTimeout
	default:
		return c.callTimeout
	}
}

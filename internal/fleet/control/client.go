// Package control is the operator's side of a fleet. It sends requests to all agents, reports the fleet's status, stores
// revisions at the agents and drives rollouts.
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
	maxConcurrentCalls = 128         // calls to agents at the same time
	minCallTimeout     = time.Second // shortest timeout of a call, however short the poll interval is
	pollsPerCall       = 4           // timeout of a call, in poll intervals
	largeCallFactor    = 5           // factor by which the timeout of calls that may carry large contents is longer
)

// Client calls the agents of a fleet on behalf of one operator. Several goroutines may call its methods.
type Client struct {
	Fleet       *inventory.Fleet
	Operator    string
	agents      []*api.Client // in the order of the fleet file
	callTimeout time.Duration
}

// New returns a client that has not connected to any agent yet. It fails if the operator's certificate in the folder is
// missing or not valid now.
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

// Answer is one agent's answer to a request.
type Answer struct {
	Agent string
	Reply protocol.Reply
	Err   error // the call failed or the agent reports a failure; of type *api.AgentError
}

// Broadcast sends a request to every agent and returns their answers in the order of the fleet file.
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
	_ = calls.Wait() // the calls return no error; answers holds the errors
	return answers
}

// call sends a request to the agent with the given index.
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

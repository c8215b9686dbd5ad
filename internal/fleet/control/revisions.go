package control

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
)

// minDigestPrefix is the minimum length of a digest prefix by which FindRevision finds a revision.
const minDigestPrefix = 4

// RevisionNotFoundError reports that no agent has a revision.
type RevisionNotFoundError struct {
	NameOrDigest string // the name or digest prefix that was searched for
}

func (e *RevisionNotFoundError) Error() string {
	return fmt.Sprintf("no agent has stored a revision %q: see fleet history, or push it", e.NameOrDigest)
}

// AmbiguousRevisionError reports that the digests of several revisions begin with the same prefix.
type AmbiguousRevisionError struct {
	Prefix  string
	Matches int // number of revisions
}

func (e *AmbiguousRevisionError) Error() string {
	return fmt.Sprintf("the digests of %d revisions begin with %q", e.Matches, e.Prefix)
}

// PushResult is the result of PushRevision.
type PushResult struct {
	Digest  string        `json:"revision"`
	Name    string        `json:"name,omitempty"`
	Stored  int           `json:"kept"`              // number of agents that have stored the revision
	Agents  int           `json:"agents"`            // number of agents in the fleet
	Missing []AgentStatus `json:"missing,omitempty"` // agents that have not stored it
}

// ReadRevision reads a revision from a file, checks it for every instance without calling an agent, and returns its canonical
// content. Error texts name the file.
func (c *Client) ReadRevision(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("revision: %w", err)
	}
	content, err := revision.Canonical(file, raw)
	if err != nil {
		return nil, err
	}
	for i := range c.Fleet.Instances {
		if _, err := revision.Check(content, c.Fleet.Instances[i].RevisionInstance()); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return content, nil
}

// PushRevision sends a revision to every agent to store. The content must be canonical; the name is for operators and may be
// empty.
func (c *Client) PushRevision(ctx context.Context, content []byte, name string) PushResult {
	pushed := protocol.Revision{
		Digest:   revision.Digest(content),
		Name:     name,
		PushedBy: c.Operator,
		PushedAt: time.Now().Unix(),
		Content:  content,
	}
	result := PushResult{Digest: pushed.Digest, Name: name, Agents: len(c.agents)}
	for _, answer := range c.Broadcast(ctx, protocol.Request{Verb: protocol.PutRevisionVerb, Revision: pushed}) {
		if answer.Err != nil {
			result.Missing = append(result.Missing, AgentStatus{Name: answer.Agent, Failure: answer.Err.Error()})
			continue
		}
		result.Stored++
	}
	return result
}

// FindRevision finds a revision by its name or by a prefix of its digest. If several revisions have the name, it returns the
// newest. Its errors are *RevisionNotFoundError, *AmbiguousRevisionError and those of History.
func (c *Client) FindRevision(ctx context.Context, nameOrDigest string) (protocol.Revision, error) {
	history, err := c.History(ctx)
	if err != nil {
		return protocol.Revision{}, err
	}
	var matches []protocol.Revision
	for _, r := range history.Revisions {
		if r.Name == nameOrDigest {
			return r, nil
		}
		if len(nameOrDigest) >= minDigestPrefix && strings.HasPrefix(r.Digest, nameOrDigest) {
			matches = append(matches, r)
		}
	}
	switch len(matches) {
	case 0:
		return protocol.Revision{}, &RevisionNotFoundError{NameOrDigest: nameOrDigest}
	case 1:
		return matches[0], nil
	default:
		return protocol.Revision{}, &AmbiguousRevisionError{Prefix: nameOrDigest, Matches: len(matches)}
	}
}

// RevisionContent fetches a revision's content from the first agent that has it.
func (c *Client) RevisionContent(ctx context.Context, digest string) ([]byte, error) {
	request := protocol.Request{Verb: protocol.GetRevisionVerb, Revision: protocol.Revision{Digest: digest}}
	var failures []error
	for i := range c.agents {
		reply, err := c.call(ctx, i, request)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		if len(reply.Revisions) == 1 && revision.Digest(reply.Revisions[0].Content) == digest {
			return reply.Revisions[0].Content, nil
		}
	}
	failures = append(failures, fmt.Errorf("no reachable agent has stored revision %s", revision.ShortDigest(digest)))
	return nil, errors.Join(failures...)
}

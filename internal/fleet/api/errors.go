package api

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
)

var (
	// ErrNoAnswer is the error of a call whose context's deadline passed.
	ErrNoAnswer = errors.New("no answer in time")
	// ErrCertificateRefused is the error of a call whose certificate the agent refused.
	ErrCertificateRefused = errors.New("it refuses this operator's certificate, and its log says why")

	errNoVersions = errors.New("it does not say which versions it speaks")
)

// AgentError is the error of a call of one agent.
type AgentError struct {
	Agent string
	Err   error
}

func (e *AgentError) Error() string { return fmt.Sprintf("agent %s: %v", e.Agent, e.Err) }

func (e *AgentError) Unwrap() error { return e.Err }

// VersionsError is the error of a call of an agent that speaks no version of the protocol that the client speaks.
type VersionsError struct{ Agent, Client Versions }

func (e *VersionsError) Error() string {
	return fmt.Sprintf("it speaks versions %d to %d, and this tool %d to %d: bring both to one release", e.Agent.Min, e.Agent.Max,
		e.Client.Min, e.Client.Max)
}

// StatusError is the error of a call that the agent answered with an error.
type StatusError struct {
	Status string // of HTTP, with its number
	Text   string // what the agent says
}

func (e *StatusError) Error() string { return e.Status + ": " + e.Text }

// UnreachableError is the error of a call of an agent to which no connection can be made.
type UnreachableError struct{ Err error }

func (e *UnreachableError) Error() string { return fmt.Sprintf("it cannot be reached: %v", e.Err) }

func (e *UnreachableError) Unwrap() error { return e.Err }

// explainError replaces errors of the network and of TLS by ones that an operator can act on.
func explainError(err error) error {
	var alert tls.AlertError
	var operation *net.OpError
	switch {
	case errors.As(err, &alert), strings.Contains(err.Error(), "remote error: tls:"):
		return fmt.Errorf("%w (%w)", ErrCertificateRefused, err)
	case errors.Is(err, context.DeadlineExceeded):
		return ErrNoAnswer
	case errors.As(err, &operation) && operation.Op == "dial":
		return &UnreachableError{Err: operation.Err}
	}
	return err
}

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
	// ErrNoAnswer is the error of a call whose context reached its deadline before the reply arrived.
	ErrNoAnswer = errors.New("no answer in time")
	// ErrCertificateRefused is the error of a call for which the agent refused the client's certificate.
	ErrCertificateRefused = errors.New("it refuses this operator's certificate; its log gives the reason")

	errNoVersions = errors.New("its reply does not name the protocol versions that it speaks")
)

// AgentError is the error of a call to one agent.
type AgentError struct {
	Agent string // name
	Err   error
}

func (e *AgentError) Error() string { return fmt.Sprintf("agent %s: %v", e.Agent, e.Err) }

func (e *AgentError) Unwrap() error { return e.Err }

// VersionsError is the error of a call to an agent that has no protocol version in common with the client.
type VersionsError struct{ Agent, Client Versions }

func (e *VersionsError) Error() string {
	return fmt.Sprintf("it speaks versions %d to %d of the protocol, and this tool %d to %d: use the same release for both",
		e.Agent.Min, e.Agent.Max, e.Client.Min, e.Client.Max)
}

// StatusError is the error of a call that the agent answered with an HTTP error status.
type StatusError struct {
	Status string // HTTP status code and text
	Text   string // body of the response
}

func (e *StatusError) Error() string { return e.Status + ": " + e.Text }

// UnreachableError is the error of a call to an agent to which the client cannot connect.
type UnreachableError struct{ Err error }

func (e *UnreachableError) Error() string { return fmt.Sprintf("it cannot be reached: %v", e.Err) }

func (e *UnreachableError) Unwrap() error { return e.Err }

// explainError replaces network and TLS errors by errors that an operator can act on.
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

package agent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

const (
	healthCheckTimeout = time.Second
	maxAnswerBytes     = 64 << 10 // size limit of one message from the router
)

// Message types in the router's answer to an empty query.
const (
	errorMessage      = 'E'
	emptyQueryMessage = 'I'
	readyMessage      = 'Z'
)

// healthCheck sends an empty query to the router that listens on an address and waits for the answer. A router answers an
// empty query without a backend. Connecting and answering may each take healthCheckTimeout. The error is the reason why
// there was no answer.
func healthCheck(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: healthCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(healthCheckTimeout))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if _, err := conn.Write(pg.AppendQuery(pg.AppendStartupMessage(nil), "")); err != nil {
		return err
	}
	return awaitEmptyAnswer(bufio.NewReader(conn))
}

// awaitEmptyAnswer reads up to the end of the answer to an empty query.
func awaitEmptyAnswer(r *bufio.Reader) error {
	for empty := false; ; {
		kind, _, err := pg.ReceiveMessage(r, maxAnswerBytes)
		switch {
		case err != nil:
			return err
		case kind == errorMessage:
			return errors.New("the router answered the health check with an error")
		case kind == emptyQueryMessage:
			empty = true
		case kind == readyMessage && empty:
			return nil
		}
	}
}

package frontend

import (
	"cmp"
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// rejection is why a query is not taken as a command, as the client gets it.
type rejection struct {
	code    string // SQLSTATE
	message string
}

// invalidValue rejects a query for a value in its comment.
func invalidValue(format string, arguments ...any) *rejection {
	return &rejection{code: pg.CodeInvalidParameterValue, message: fmt.Sprintf(format, arguments...)}
}

// processQuery processes a simple query: a command for the dispatcher, or something that gets its reply here.
func (c *conn) processQuery(size int) {
	body := size - messageHeader
	statement, err := pg.ParseStatement(&c.input, messageHeader, body, c.server.limits.Sizes.StatementComment)
	if err != nil {
		c.rejectQuery(&rejection{code: pg.CodeSyntaxError, message: err.Error()})
		return
	}
	c.hasQueried = true
	if statement.Empty {
		c.send(pg.AppendReadyForQuery(pg.AppendEmptyQueryResponse(nil)))
		return
	}
	command, rejected := c.server.newCommand(&statement)
	if rejected != nil {
		c.rejectQuery(rejected)
		return
	}
	command.ClientDeadline = c.earliestArrival + statement.Wait - c.server.limits.Durations.AnswerMargin
	c.input.CopyTo(&command.Statement, messageHeader, body)
	c.forward(command)
}

// newCommand makes a command of a statement, all but its text and its deadline.
func (s *Server) newCommand(statement *pg.Statement) (*dispatcher.Command, *rejection) {
	group, ok := s.groups[statement.Group]
	if !ok {
		return nil, invalidValue("c=%.40q: unknown command group", statement.Group)
	}
	shard, ok := s.dispatcher.LookupShard(statement.Shard)
	if !ok {
		return nil, invalidValue("cluster=%d: unknown cluster", statement.Shard)
	}
	if rejected := s.checkStatement(statement, group); rejected != nil {
		return nil, rejected
	}
	command := &dispatcher.Command{
		ID:          statement.ID,
		Group:       group,
		Shard:       shard,
		Session:     statement.Session,
		ClientRetry: statement.ClientRetry,
		Statement:   s.buffers.NewChain(),
		WaitStart:   statement.WaitStart,
		WaitEnd:     statement.WaitEnd,
		Responder:   s,
	}
	if statement.LastWriteAt > 0 {
		// A write of this very moment must not look like none.
		command.LastWriteAge = cmp.Or(s.dispatcher.SecondsSince(statement.LastWriteAt), -math.SmallestNonzeroFloat64)
	}
	return command, nil
}

// checkStatement returns why backends must not see a statement, or nil.
func (s *Server) checkStatement(statement *pg.Statement, group int) *rejection {
	needsKey := s.settings.CommandGroups[group].Idempotency == router.IdempotentWithKey
	switch {
	case statement.Wait > s.limits.Durations.MaxClientTimeout:
		const millisecondsPerSecond = 1000
		return invalidValue("d=%.0f: longer than any client waits", statement.Wait*millisecondsPerSecond)
	case needsKey && !statement.HasIdempotencyKey:
		return invalidValue("c=%.40q: commands of this group bear a key, k", statement.Group)
	case s.dispatcher.IsInFlight(statement.ID):
		return invalidValue("id=%s: a command of this id is in hand", statement.ID)
	}
	return nil
}

// forward hands a command to the dispatcher and keeps its place among the replies.
func (c *conn) forward(command *dispatcher.Command) {
	r := &reply{command: command, data: c.server.buffers.NewChain()}
	c.replies = append(c.replies, r)
	command.Owner = owner{conn: c, reply: r}
	c.server.dispatcher.Submit(command)
}

// rejectQuery sends the client why its query is rejected. A client that goes on sending such queries is closed: one that
// repeats a query as soon as it is rejected would keep the router busy.
func (c *conn) rejectQuery(rejected *rejection) {
	c.rejectedQueries++
	if c.rejectedQueries >= c.server.limits.Counts.InvalidQueries {
		c.protocolError(rejected.code, rejected.message)
		return
	}
	c.server.counters.InvalidQueries++
	c.send(pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, rejected.code, rejected.message, "")))
}

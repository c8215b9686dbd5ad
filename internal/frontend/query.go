package frontend

import (
	"cmp"
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// rejection is the reason for which a query is not accepted as a command, as it is sent to the client.
type rejection struct {
	code    string // SQLSTATE
	message string
	// mayBecomeValid is true if the query is at fault only by what this router knows now.
	mayBecomeValid bool
}

// invalidValue returns a rejection for an invalid value in the comment of a query.
func invalidValue(format string, arguments ...any) *rejection {
	return &rejection{code: pg.CodeInvalidParameterValue, message: fmt.Sprintf(format, arguments...)}
}

// processQuery processes a simple query. It forwards a valid command to the dispatcher, and replies to an empty or invalid
// query itself.
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
	arrivedAt := c.arrivals.of(c.input.Len() - size)
	command.ClientDeadline = arrivedAt + statement.Wait - c.server.limits.Durations.AnswerMargin
	c.input.CopyTo(&command.Statement, messageHeader, body)
	c.forward(command)
}

// newCommand returns a command for a statement, without its text, its deadline and its owner, or why the statement is
// rejected.
func (s *Server) newCommand(statement *pg.Statement) (*dispatcher.Command, *rejection) {
	group, ok := s.groups[statement.Group]
	if !ok {
		return nil, invalidValue("c=%.40q: unknown command group", statement.Group)
	}
	shard, ok := s.dispatcher.LookupShard(statement.Shard)
	if !ok {
		rejected := invalidValue("cluster=%d: unknown cluster", statement.Shard)
		rejected.mayBecomeValid = true // the endpoint list may be late
		return nil, rejected
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
		// Age 0 would mean that the last write is not known. A write at this very moment gets a tiny negative age instead.
		command.LastWriteAge = cmp.Or(s.dispatcher.SecondsSince(statement.LastWriteAt), -math.SmallestNonzeroFloat64)
	}
	return command, nil
}

// checkStatement returns the reason for which a statement must not be sent to a backend, or nil.
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
	case s.dispatcher.MayHaveRun(statement.ID):
		return invalidValue("id=%s: a command of this id may have run", statement.ID)
	}
	return nil
}

// forward appends an outstanding reply for a command and submits the command to the dispatcher.
func (c *conn) forward(command *dispatcher.Command) {
	r := &reply{command: command, data: c.server.buffers.NewChain(), pipelined: c.hasOutstandingReplies()}
	if r.pipelined {
		c.server.pipelinedInFlight++
	}
	c.replies = append(c.replies, r)
	command.Owner = owner{conn: c, reply: r}
	c.server.dispatcher.Submit(command)
}

// rejectQuery sends a rejection to the client. After InvalidQueries rejections it reads nothing more from the client, and the
// connection ends once all that has been read is answered. Otherwise a client that repeats a query as soon as it is rejected
// would keep the router busy.
func (c *conn) rejectQuery(rejected *rejection) {
	c.server.counters.InvalidQueries++
	if !rejected.mayBecomeValid {
		c.rejectedQueries++
	}
	if c.rejectedQueries >= c.server.limits.Counts.InvalidQueries {
		c.readsNoMore = true
	}
	c.send(pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, rejected.code, rejected.message, "")))
}

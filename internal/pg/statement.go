package pg

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Statement is what the router reads off a client's query. All else in it is passed on unseen.
type Statement struct {
	Empty              bool
	ID                 string
	HasIdempotencyKey  bool // it bears a key by which a repeat is known
	Group              string
	Shard              int
	Wait               float64 // seconds from the client's send for which it waits
	LastWriteAt        float64 // Unix seconds of the session's last write; 0: not told
	ClientRetry        bool
	Session            uint64 // told by the first quoted value; 0: none
	WaitStart, WaitEnd int    // where the digits of the wait stand in the text
	hasGroup           bool
	hasCluster         bool
	hasWait            bool
}

// ParseStatement reads a query's text, which is n bytes of a chain from an offset on, final zero included. Its comment
// may have most bytes.
func ParseStatement(in *buffer.Chain, from, n, most int) (Statement, error) {
	s := scanner{most: most}
	last := byte(1)
	if n > 0 {
		in.Each(from+n-1, 1, func(b []byte) { last = b[0] })
	}
	if last != 0 {
		return Statement{}, errors.New("the query does not end with a zero byte")
	}
	in.Each(from, n-1, s.piece)
	switch {
	case !s.any && s.place == plain:
		return Statement{Empty: true}, nil
	case s.place != plain && s.place != line:
		return Statement{}, errors.New("a quote or comment is not closed")
	case s.over:
		return Statement{}, errors.New("two statements in one query")
	case s.commentAt == 0:
		return Statement{}, errors.New("the comment with id, c, d and cluster is missing")
	case len(s.comment) > most:
		return Statement{}, fmt.Errorf("the comment is longer than %d bytes", most)
	}
	st := Statement{}
	if s.literals > 0 {
		st.Session = max(1, s.key)
	}
	return st, st.names(string(s.comment), s.commentAt)
}

// names reads a comment's names and values; those that are not known are passed over.
func (st *Statement) names(comment string, at int) error {
	for len(comment) > 0 {
		part, rest, _ := strings.Cut(comment, ",")
		lead := len(part) - len(strings.TrimLeft(part, " \t\r\n"))
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if ok {
			if err := st.set(name, value, at+lead+len(name)+1); err != nil {
				return err
			}
		}
		at += len(part) + 1
		comment = rest
	}
	switch {
	case st.ID == "":
		return errors.New("id is missing")
	case !st.hasGroup:
		return errors.New("c, the command group, is missing")
	case !st.hasWait:
		return errors.New("d, the time to wait, is missing")
	case !st.hasCluster:
		return errors.New("cluster is missing")
	}
	return nil
}

func (st *Statement) set(name, value string, at int) error {
	var seen bool
	var n int64
	var err error
	switch name {
	case "id":
		seen, st.ID = st.ID != "", value
		err = hexadecimal(value)
	case "k":
		st.HasIdempotencyKey = true
		err = hexadecimal(value)
	case "c":
		seen, st.hasGroup, st.Group = st.hasGroup, true, value
	case "r":
		st.ClientRetry = value == "1"
	case "d":
		n, err = strconv.ParseInt(value, 10, 32)
		if err == nil && n <= 0 {
			err = errors.New("it must be above 0")
		}
		seen, st.hasWait, st.Wait = st.hasWait, true, float64(n)/1000
		st.WaitStart, st.WaitEnd = at, at+len(value)
	case "cluster":
		n, err = strconv.ParseInt(value, 10, 32)
		seen, st.hasCluster, st.Shard = st.hasCluster, true, int(n)
	case "after":
		n, err = strconv.ParseInt(value, 10, 64)
		st.LastWriteAt = float64(n) / 1000
	}
	switch {
	case err != nil:
		return fmt.Errorf("%s=%.20q: %w", name, value, err)
	case seen:
		return fmt.Errorf("%s stands twice", name)
	}
	return nil
}

// hexadecimal says what keeps a value from being an id or a key: it has some digits, and no more than the
// longest in use.
func hexadecimal(value string) error {
	const most = 32
	ok := value != "" && len(value) <= most
	for _, c := range []byte(value) {
		ok = ok && (c >= '0' && c <= '9' || c >= 'A' && c <= 'F' || c >= 'a' && c <= 'f')
	}
	if !ok {
		return fmt.Errorf("it must be hexadecimal, and not longer than %d digits", most)
	}
	return nil
}

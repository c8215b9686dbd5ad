package member

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// bench is Members with one node, whose listener the test works itself.
type bench struct {
	t       *testing.T
	m       *Members
	l       *loop.Loop
	blocks  *buffer.Pool
	count   count.Counters
	node    net.Listener
	endings []router.Result
	values  []string
	probes  []router.Result
	reports []string
}

func (b *bench) Ended(_ *Dispatch, e router.Result, _ float64, a *pg.Answer) {
	b.endings = append(b.endings, e)
	if a != nil {
		b.values = append(b.values, a.Report())
		a.Row.Free()
	}
}

func (b *bench) Probed(_ int, ending router.Result, _ float64, report string) {
	b.probes, b.reports = append(b.probes, ending), append(b.reports, report)
}

func listener(t *testing.T) net.Listener {
	// Small receive buffers, so that a long statement cannot be written whole to a member that does not read.
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	n, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, blocks: buffer.NewPool(4096, 1<<20), node: listener(t)}
	var err error
	b.l, err = loop.New(16)
	require.NoError(t, err)
	limits := &site.Limits{
		Sizes: site.Sizes{
			ReadPerTurn: 1 << 16, BackendMessage: 1 << 17, InspectedMessage: 1 << 10,
		},
		Counts: site.Counts{
			BackendConnections: 4,
		},
		Durations: site.Durations{
			ConnectTimeout: 30, HealthCheckTimeout: 30, BackendIdleTimeout: 60,
		},
	}
	b.m = New(b.l, limits, b.blocks, b, &b.count)
	b.place(b.node)
	return b
}

func (b *bench) place(n net.Listener) {
	b.m.Place(0, netip.MustParseAddrPort(n.Addr().String()), false)
}

func (b *bench) send(text string, until float64) *Dispatch {
	c := b.blocks.New()
	c.Write([]byte(text + "\x00"))
	d := &Dispatch{Text: &c, From: 2, To: 4, Until: until}
	b.m.Send(d)
	return d
}

// run turns the loop until something holds.
func (b *bench) run(until func() bool) {
	b.t.Helper()
	late := time.Now().Add(20 * time.Second)
	require.NoError(b.t, b.l.Run(func(now float64) float64 {
		if until() || time.Now().After(late) {
			b.l.Stop()
		}
		return now + 0.002
	}))
	require.True(b.t, until(), "waited for in vain")
}

func (b *bench) ended(n int) func() bool { return func() bool { return len(b.endings) == n } }

// accept takes the member's side of a connection and greets, while the loop turns.
func (b *bench) accept() net.Conn {
	b.t.Helper()
	done := make(chan net.Conn, 1)
	go func() {
		c, err := b.node.Accept()
		if err == nil {
			_, _ = io.ReadFull(c, make([]byte, len(pg.Hello(nil))))
			_, _ = c.Write(pg.Welcome(nil))
		}
		done <- c
	}()
	var c net.Conn
	b.run(func() bool {
		select {
		case c = <-done:
		default:
		}
		return c != nil
	})
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// hear reads what the member is sent.
func (b *bench) hear(c net.Conn, n int) string {
	b.t.Helper()
	got := make(chan string, 1)
	go func() {
		text := make([]byte, n)
		_, _ = io.ReadFull(c, text)
		got <- string(text)
	}()
	said := ""
	b.run(func() bool {
		select {
		case said = <-got:
		default:
		}
		return said != ""
	})
	return said
}

// reply answers a dispatch once it has come.
func (b *bench) reply(c net.Conn, value string) {
	b.t.Helper()
	b.hear(c, 5)
	_, _ = c.Write(answer(value))
	b.run(b.ended(len(b.endings) + 1))
}

func answer(value string) []byte {
	a := pg.Message(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	a = pg.Message(a, 'D', []byte{0, 1, 0, 0, 0, byte(len(value))}, []byte(value))
	return pg.Ready(pg.Message(a, 'C', []byte("x\x00")))
}

const far = 1e6 // seconds

func TestStatementIsPassedOnWithTheTimeLeft(t *testing.T) {
	b := newBench(t)
	b.send("d=99 rest", 1000)
	c := b.accept()
	want := pg.Query(nil, "d=999999 rest")
	got := b.hear(c, len(want))
	assert.Regexp(t, `^Q\x00\x00\x00\x12d=99\d{4} rest\x00$`, got)
	_, _ = c.Write(answer("one"))
	b.run(b.ended(1))
	assert.Equal(t, []router.Result{router.Answered}, b.endings)
	assert.Equal(t, []string{"one"}, b.values)

	b.send("d=99 again", far)
	b.hear(c, 5)
	assert.Equal(t, 1, b.m.Open(), "the connection is used again")
}

func TestEndedConnectionIsNotUsedAgain(t *testing.T) {
	b := newBench(t)
	b.send("d=99", far)
	c := b.accept()
	b.reply(c, "one")
	_ = c.Close()
	b.send("d=99", far) // before the loop has seen the end
	b.reply(b.accept(), "two")
	assert.Equal(t, []router.Result{router.Answered, router.Answered}, b.endings)
	assert.EqualValues(t, 2, b.count.Dialled)
}

func TestTimeOutBeforeTheLastByteHasNeverRun(t *testing.T) {
	b := newBench(t)
	b.send("d=99", 0.2) // nobody greets
	b.run(b.ended(1))
	c, err := b.node.Accept()
	require.NoError(t, err)
	_ = c.Close()
	d := b.send("d=99"+string(make([]byte, 32<<20)), far)
	c = b.accept()
	b.hear(c, 5)
	d.conn.due() // its time has run out while the member reads no more
	assert.Equal(t, []router.Result{router.ConnectFailed, router.ConnectFailed}, b.endings)
	assert.Zero(t, b.m.Open())
}

func TestRecallGoesByTheLastByte(t *testing.T) {
	b := newBench(t)
	long := b.send("d=99"+string(make([]byte, 32<<20)), far)
	c := b.accept()
	b.hear(c, 5)
	require.True(t, long.Unsent())
	b.m.Recall(long)
	b.m.Recall(long)
	short := b.send("d=99", far)
	c = b.accept()
	b.hear(c, 5)
	require.False(t, short.Unsent())
	b.m.Recall(short)
	assert.Equal(t, []router.Result{router.ConnectFailed, router.Canceled}, b.endings)
	_, err := io.Copy(io.Discard, c)
	assert.NoError(t, err, "the connection was closed at once")
	assert.Zero(t, b.m.Open())
}

func TestSilenceAfterTheLastByteIsATimeOut(t *testing.T) {
	b := newBench(t)
	b.send("d=99", 0.3)
	b.accept()
	b.run(b.ended(1))
	assert.Equal(t, []router.Result{router.TimedOut}, b.endings)
	assert.Zero(t, b.m.Open())
}

func TestOutcomesByWhatComesBack(t *testing.T) {
	fail := func(code string, fatal bool) []byte { return pg.Error(nil, fatal, code, "", "") }
	for what, k := range map[string]struct {
		said   []byte
		ending router.Result
		open   int
	}{
		"full":           {pg.Ready(fail(pg.CodeFull, false)), router.Overloaded, 1},
		"full and ended": {fail(pg.CodeFull, true), router.Overloaded, 0},
		"no primary":     {pg.Ready(fail(pg.CodeNotPrimary, false)), router.NotServed, 1},
		"too far behind": {pg.Ready(fail(pg.CodeBehind, false)), router.NotServed, 1},
		"error":          {pg.Ready(fail("XX000", false)), router.Errored, 1},
		"no row":         {pg.Ready(nil), router.Errored, 1},
		"3 GB promised":  {[]byte("D\xb2\xd0\x5e\x00"), router.Errored, 0},
		"full in a row":  {pg.Ready(pg.Error(answer("x")[:41], false, pg.CodeFull, "", "")), router.Errored, 1},
		"nonsense":       {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), router.Errored, 0},
		"too much":       {append(answer("x"), answer("y")...), router.Answered, 0},
	} {
		b := newBench(t)
		b.send("d=99", far)
		c := b.accept()
		b.hear(c, 5)
		_, _ = c.Write(k.said)
		b.run(b.ended(1))
		assert.Equal(t, k.ending, b.endings[0], what)
		assert.Equal(t, k.open, b.m.Open(), what)
	}
	b := newBench(t)
	b.send("d=99", far)
	c := b.accept()
	b.hear(c, 5)
	_, _ = c.Write(answer("cut short")[:20])
	_ = c.Close()
	b.run(b.ended(1))
	assert.Equal(t, router.ConnectionLost, b.endings[0], "what was not whole reaches nobody")
	assert.Empty(t, b.values)
}

func TestMemberThatDoesNotGreetProperlyHasRunNothing(t *testing.T) {
	for what, k := range map[string]struct {
		said   []byte
		ending router.Result
	}{
		"a row":           {answer("x"), router.ConnectFailed},
		"nonsense":        {[]byte("SSH-2.0-x\r\n"), router.ConnectFailed},
		"an error":        {pg.Error(nil, true, "57P03", "", ""), router.ConnectFailed},
		"too many of us":  {pg.Error(nil, true, pg.CodeFull, "", ""), router.Overloaded},
		"a password, pls": {pg.Message(nil, 'R', []byte{0, 0, 0, 3}), router.ConnectFailed},
		"one byte more":   {append(pg.Welcome(nil), 'N'), router.ConnectFailed},
	} {
		b := newBench(t)
		d := b.send("d=99", far)
		c, err := b.node.Accept()
		require.NoError(t, err)
		_, _ = c.Write(k.said)
		b.run(b.ended(1))
		_ = c.Close()
		assert.Equal(t, k.ending, b.endings[0], what)
		d.Text.Free()
		assert.Zero(t, b.blocks.Out(), what)
	}
}

func TestChangedAddressTakesNothingNewOnOldConnections(t *testing.T) {
	b := newBench(t)
	b.send("d=99", far)
	b.reply(b.accept(), "one")
	b.node = listener(t)
	b.place(b.node)
	assert.Zero(t, b.m.Open(), "the idle one is closed")
	b.send("d=98", far)
	c := b.accept()
	b.node = listener(t)
	b.place(b.node)
	assert.Equal(t, 1, b.m.Open(), "the busy one ends first")
	b.reply(c, "two")
	assert.Zero(t, b.m.Open())
	b.send("d=97", far)
	b.reply(b.accept(), "three")
	assert.Equal(t, []string{"one", "two", "three"}, b.values)
}

// A member is forgotten, and its index goes to another, while a probe of it is out: what it reports is its own.
func TestReportOfAForgottenMemberSpeaksForNoOther(t *testing.T) {
	for what, said := range map[string][]byte{"reports": answer("x0=5,x1=1"), "spoilt": []byte("?"), "ends": nil} {
		b := newBench(t)
		b.m.Probe(0)
		c := b.accept()
		b.hear(c, len(pg.Query(nil, "SHOW health")))
		b.m.Forget(0)
		other := listener(t)
		b.place(other)
		if said != nil {
			_, _ = c.Write(said)
		}
		_ = c.Close()
		b.run(func() bool { return b.m.Open() == 0 })
		assert.Empty(t, b.probes, what)
		b.m.Forget(0)
		b.place(b.node)
		b.m.Probe(0)
		c = b.accept()
		b.hear(c, len(pg.Query(nil, "SHOW health")))
		b.m.Forget(0)
		b.place(b.node)
		_, _ = c.Write(answer("x0=5,x1=1"))
		b.run(func() bool { return b.m.Open() == 0 })
		assert.Empty(t, b.probes, "at the same address too, and the connection is not kept")
	}
}

func TestProbeTellsItsReportOrItsFailure(t *testing.T) {
	b := newBench(t)
	b.m.Probe(0)
	c := b.accept()
	assert.Equal(t, string(pg.Query(nil, "SHOW health")), b.hear(c, len(pg.Query(nil, "SHOW health"))))
	_, _ = c.Write(answer("x0=5,x1=1"))
	b.run(func() bool { return len(b.probes) == 1 })
	assert.Equal(t, []string{"x0=5,x1=1"}, b.reports)
	b.m.Probe(0)
	b.hear(c, 5)
	_, _ = c.Write(pg.Ready(pg.Error(nil, false, "57P03", "", "")))
	b.run(func() bool { return len(b.probes) == 2 })
	b.m.limits.Durations.HealthCheckTimeout = 0.01
	b.m.Probe(0)
	b.run(func() bool { return len(b.probes) == 3 })
	assert.Equal(t, []router.Result{router.Answered, router.Errored, router.TimedOut}, b.probes)
	assert.Zero(t, b.m.Open(), "one that was not answered is closed")
}

func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	b := newBench(t)
	b.m.limits.Counts.BackendConnections = 1
	b.m.limits.Counts.SharedDescriptors = 2 // the loop's own and one
	b.send("d=99", far)
	c := b.accept()
	b.m.Probe(0)
	assert.Equal(t, []router.Result{router.ConnectFailed}, b.probes, "the one place is taken")
	b.reply(c, "one")
	other := listener(t)
	b.m.Place(1, netip.MustParseAddrPort(other.Addr().String()), false)
	b.m.Probe(1)
	assert.Len(t, b.probes, 1)
	assert.Equal(t, 1, b.m.Open())
	b.m.limits.Counts.SharedDescriptors = 3
	b.m.Probe(1)
	assert.Equal(t, 2, b.m.Open(), "beyond its own where descriptors are free")
}

// The order that matters: an answer, the next command, then bytes that belong to no command.
func TestWhatComesBehindAnAnswerMeetsNoOtherCommand(t *testing.T) {
	b := newBench(t)
	b.m.limits.Durations.ReuseDelay = 1000
	b.send("d=99", far)
	c := b.accept()
	b.reply(c, "one")
	b.send("d=99", far)
	_, _ = c.Write(answer("one")) // a second copy, while the next command is out
	other := b.accept()
	b.reply(other, "two")
	b.run(func() bool { return b.count.Unasked == 1 })
	assert.Equal(t, []string{"one", "two"}, b.values)
	b.m.limits.Durations.ReuseDelay = 0
	_, _ = other.Write([]byte("noise"))
	b.run(func() bool { return b.count.Unasked == 2 })
	assert.Zero(t, b.m.Open(), "neither connection is used again")
}

func TestMemberThatSpoilsItsReportHasBeenReached(t *testing.T) {
	b := newBench(t)
	b.m.Probe(0)
	c := b.accept()
	b.hear(c, 5)
	_, _ = c.Write([]byte("~~~~~~"))
	b.run(func() bool { return len(b.probes) == 1 })
	assert.Equal(t, []router.Result{router.Errored}, b.probes)
	assert.Equal(t, []string{""}, b.reports)
	assert.EqualValues(t, 1, b.count.Spoilt)
	assert.Zero(t, b.m.Open())
}

func TestForgottenMemberLeavesNothing(t *testing.T) {
	b := newBench(t)
	b.send("d=99", far)
	c := b.accept()
	b.reply(c, "one")
	b.send("d=98", far)
	b.m.Forget(0)
	b.reply(c, "late")
	assert.Zero(t, b.m.Open(), "one that was busy is not kept for whoever has the row next")
	b.m.Probe(0)
	assert.Equal(t, []router.Result{router.ConnectFailed}, b.probes, "no address is left")
}

// Once errors counted as answers, the report in a row that an error followed counted too: a position that no
// member had told made a replica cover reads that it did not.
func TestReportOfAProbeThatErredIsNone(t *testing.T) {
	b := newBench(t)
	b.m.Probe(0)
	c := b.accept()
	b.hear(c, 5)
	whole := answer("x0=5,x1=1")
	spoilt := append(bytes.Clone(whole[:len(whole)-6]), pg.Ready(pg.Error(nil, false, "XX000", "", ""))...) // ahead of ReadyForQuery
	_, _ = c.Write(spoilt)
	b.run(func() bool { return len(b.probes) == 1 })
	assert.Equal(t, []router.Result{router.Errored}, b.probes)
	assert.Equal(t, []string{""}, b.reports)
}

package pg

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAnswerIsTakenOnceComplete(t *testing.T) {
	rows := row("a value")
	b := append(AppendParameterStatus(nil, "application_name", "x"), rows...)
	b = AppendParameterStatus(AppendMessage(b, 'N', []byte("note")), "lsn_ms", "1767225600123")
	b = AppendReadyForQuery(AppendParameterStatus(AppendParameterStatus(b, "recovery", "on"), "health", "x0=1"))
	for n := range b {
		in, answer := chain(b[:n]), Answer{Row: *chain(nil)}
		done, err := answer.Take(in, 1024, 1024)
		require.NoError(t, err)
		require.False(t, done, "the answer is incomplete")
		require.False(t, answer.HasRow())
		in.Write(b[n:])
		done, err = answer.Take(in, 1024, 1024)
		require.NoError(t, err)
		require.True(t, done)
		require.True(t, answer.HasRow())
		require.Equal(t, int64(1767225600123), answer.PositionMs)
		require.Equal(t, "on", answer.Role)
		require.Equal(t, "x0=1", answer.LoadReport)
		require.Equal(t, "a value", answer.Value())
		got := make([]byte, answer.Row.Len())
		answer.Row.Peek(got)
		require.Equal(t, rows, got, "the row is passed on byte for byte")
	}
}

func TestErrorAnswerHasItsCode(t *testing.T) {
	b := AppendReadyForQuery(AppendParameterStatus(AppendErrorResponse(nil, false, CodeReadOnlyTransaction, "read only", ""), "recovery", "on"))
	answer := Answer{Row: *chain(nil)}
	done, err := answer.Take(chain(b), 1024, 1024)
	require.NoError(t, err)
	assert.True(t, done)
	assert.False(t, answer.HasRow())
	assert.Equal(t, CodeReadOnlyTransaction, answer.ErrorCode)
	assert.Equal(t, "on", answer.Role, "parameters after the error are used")

	answer = Answer{Row: *chain(nil)}
	done, err = answer.Take(chain(AppendErrorResponse(nil, true, CodeTooManyConnections, "too many", "")), 1024, 1024)
	require.NoError(t, err)
	assert.True(t, done, "the answer ends with a fatal error")
	assert.True(t, answer.Fatal)
}

func TestMalformedAnswerIsAnError(t *testing.T) {
	one := row("v")
	head := AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	for name, b := range map[string][]byte{
		"two rows":                append(append([]byte{}, one...), one...),
		"no row":                  AppendReadyForQuery(AppendMessage(head, 'C', []byte("x\x00"))),
		"row without description": AppendMessage(nil, 'D', []byte{0, 1, 0, 0, 0, 0}),
		"two columns":             AppendMessage(head, 'D', []byte{0, 2, 0, 0, 0, 0, 0, 0, 0, 0}),
		"false length":            AppendMessage(head, 'D', []byte{0, 1, 0, 0, 0, 9, 1}),
		"unfinished":              AppendReadyForQuery(AppendMessage(head, 'D', []byte{0, 1, 0, 0, 0, 0})),
		"unknown message":         AppendMessage(nil, 'q'),
		"promised 3 GB":           {'D', 0xb2, 0xd0, 0x5e, 0x00},
		"value does not fit":      append(append([]byte{}, head...), 'D', 0, 0, 0x20, 0, 0, 1, 0x7f, 0, 0, 0),
		"noise":                   []byte("~"),
		"noise for a description": AppendMessage(nil, 'T', []byte("\x00\x01noise")),
		"two descriptions":        append(append([]byte{}, head...), 'T'),
		"tag without an end":      AppendMessage(AppendMessage(head, 'D', []byte{0, 1, 0, 0, 0, 0}), 'C', []byte("SELECT")),
		"unknown ready status":    AppendMessage(nil, 'Z', []byte{'?'}),
		"long ready":              append([]byte{'Z'}, 0, 0, 0, 200),
		"error of noise":          AppendMessage(nil, 'E', []byte("~~~~")),
		"error without code":      AppendMessage(nil, 'E', []byte("Mx\x00\x00")),
		"row after error":         append(AppendErrorResponse(nil, false, "XX000", "", ""), one...),
		"password":                AppendMessage(nil, 'R', []byte{0, 0, 0, 3}),
		"too long":                append([]byte{'D'}, 0, 1, 0, 0),
		"very long parameter":     AppendParameterStatus(nil, "x", strings.Repeat("y", 1024)),
	} {
		answer := Answer{Row: *chain(nil)}
		_, err := answer.Take(chain(b), 60000, 1024)
		require.Error(t, err, name)
		var bad *MessageError
		require.ErrorAs(t, err, &bad, name)
	}
	answer := Answer{Row: *chain(nil)}
	done, err := answer.Take(chain(AppendReadyForQuery(nil)), 1024, 1024)
	require.NoError(t, err)
	assert.True(t, done)
	assert.False(t, answer.HasRow(), "a ReadyForQuery without a row is not a row")
}

func FuzzAnswer(f *testing.F) {
	f.Add(AppendReadyForQuery(row("v")), 5)
	f.Add(AppendErrorResponse(nil, true, CodeTooManyConnections, "no", "5"), 1)
	f.Add([]byte("D\x00\x00\x00\x04T\x00\x00\x00\x04"), 2)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		answer := Answer{Row: *chain(nil)}
		done, err := answer.Take(chain(b), 1024, 1024)
		cut = min(max(0, cut), len(b))
		in, splitAnswer := chain(b[:cut]), Answer{Row: *chain(nil)}
		done2, err2 := splitAnswer.Take(in, 1024, 1024)
		if !done2 && err2 == nil {
			in.Write(b[cut:])
			done2, err2 = splitAnswer.Take(in, 1024, 1024)
		}
		require.Equal(t, done, done2)
		require.Equal(t, err == nil, err2 == nil)
		require.Equal(t, answer.HasRow(), splitAnswer.HasRow())
		_, _, _ = ReadStartup(chain(b), 10000)
	})
}

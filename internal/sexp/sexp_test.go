package sexp

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

type item struct {
	Name string         `sexp:",name"`
	At   netip.AddrPort `sexp:"at,must"`
	Tags []string       `sexp:"tags"`
}

type testFile struct {
	Count int     `sexp:"count"`
	Share float64 `sexp:"share"`
	On    bool    `sexp:"on"`
	Wait  Seconds `sexp:"wait"`
	Times struct {
		Soak Seconds `sexp:"soak,must"`
	} `sexp:"times"`
	Items []item `sexp:"item"`
}

const sample = `; a comment
(count 3) (share 0.5) (on yes) (wait 250ms)
(times (soak 2m))
(item a (at "127.0.0.1:80") (tags x "y z"))
(item "b ;" (at 127.0.0.1:81))`

func decodeFile(text string) (testFile, error) {
	var w testFile
	nodes, err := Read("f", []byte(text))
	if err == nil {
		err = Decode("f", nodes, &w)
	}
	return w, err
}

func TestValuesAreDecoded(t *testing.T) {
	file, err := decodeFile(sample)
	require.NoError(t, err)
	assert.Equal(t, 3, file.Count)
	assert.True(t, file.On)
	assert.InDelta(t, 0.25, float64(file.Wait), 0, "exactly")
	assert.InDelta(t, 120, float64(file.Times.Soak), 0, "exactly")
	require.Len(t, file.Items, 2)
	assert.Equal(t, []string{"x", "y z"}, file.Items[0].Tags)
	assert.Equal(t, "b ;", file.Items[1].Name)
	again, err := decodeFile(string(Print(Encode(&file))))
	require.NoError(t, err)
	assert.Equal(t, file, again)
}

func TestErrorsNamePositionAndKey(t *testing.T) {
	for text, wantError := range map[string]string{
		"(cuont 3)":                     `f:1:2: the file has no key "cuont"; did you mean count?`,
		"(zzzzzzz 3)":                   `it has count, item, on, share, times, wait`,
		"\n (count three)":              `f:2:9: count must be a whole number, not "three"`,
		"(count 3)\n(count 4)":          "f:2:1: count is given twice, first on line 1",
		"(count)":                       "count must have one value, not 0",
		"(on maybe)":                    `on must be yes or no, not "maybe"`,
		"(wait 5)":                      `wait must be a duration such as 250ms, 5s or 2m, not "5"`,
		"(wait -5s)":                    "wait must be a duration",
		"(share (1))":                   "f:1:8: share must be a number, not a list",
		"(times)":                       "f:1:1: times lacks the key soak",
		"(item (at 127.0.0.1:80))":      "item must have a name after its key",
		"(item a)":                      "f:1:1: item lacks the key at",
		"(item a (at here))":            "f:1:13: at: ",
		"count":                         "the file must contain only entries of the form",
		"(count 3":                      "f:1:1: this bracket is never closed",
		"\n  )":                         "f:2:3: this bracket closes nothing",
		"(wait \"x":                     "f:1:7: this string is never closed",
		`(wait "\q")`:                   `f:1:7: unknown escape \q`,
		`(wait "\xz")`:                  "must be followed by two hexadecimal digits",
		strings.Repeat("(", MaxDepth+1): "nest more than",
	} {
		_, err := decodeFile(text)
		require.ErrorContains(t, err, wantError, text)
		var f *Error
		require.ErrorAs(t, err, &f, text)
	}
	_, err := Read("f", make([]byte, MaxFileBytes+1))
	require.ErrorContains(t, err, "at most 4194304 are allowed")
}

func withoutPositions(nodes []Node) []Node {
	stripped := append([]Node{}, nodes...)
	for i := range stripped {
		stripped[i].Position, stripped[i].List = Position{}, withoutPositions(stripped[i].List)
	}
	return stripped
}

func TestPrintedNodesReadBackTheSame(t *testing.T) {
	node := rapid.Deferred(func() *rapid.Generator[Node] { return nodes(4) })
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(node, 0, 5).Draw(t, "nodes")
		got, err := Read("f", Print(want))
		require.NoError(t, err)
		assert.Equal(t, withoutPositions(want), withoutPositions(got))
	})
}

func nodes(depth int) *rapid.Generator[Node] {
	return rapid.Custom(func(t *rapid.T) Node {
		if depth == 0 || rapid.Bool().Draw(t, "text") {
			n := Atom(rapid.String().Draw(t, "atom"))
			n.Quoted = n.Quoted || rapid.Bool().Draw(t, "quoted")
			return n
		}
		return List(rapid.SliceOfN(nodes(depth-1), 0, 6).Draw(t, "list")...)
	})
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`("\x00\\" a;b` + "\n)"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Read("f", text)
		if err != nil {
			return
		}
		again, err := Read("f", Print(got))
		require.NoError(t, err)
		assert.Equal(t, withoutPositions(got), withoutPositions(again))
	})
}

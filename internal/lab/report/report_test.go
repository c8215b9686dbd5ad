package report

import (
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/lab/experiment"
	"stoatdale.example/stoatdale/internal/lab/model"
)

func runs() []experiment.Run {
	series := func(earned ...float64) model.Tally {
		var t model.Tally
		for _, e := range earned {
			t.Series = append(t.Series, model.Second{Benefit: 10, Earned: e})
		}
		return t
	}
	return []experiment.Run{
		{Policy: "module", Seed: 1, Service: 0.9, Tally: series(10, 8)},
		{Policy: "module", Seed: 2, Service: 0.7, Tally: series(10, 4, 5)},
		{
			Policy: "any", Seed: 1, Service: 0.2, Tally: series(0, 2), Groups: []experiment.Group{{Name: "a<b", Answered: 3, P50: 0.0123}},
			Violations: map[string]string{"a rule": "so"},
		},
	}
}

func TestCurvesAreOverAllSeeds(t *testing.T) {
	c := Curves(runs())
	require.Len(t, c, 2)
	assert.Equal(t, []float64{1, 0.6, 0.5}, c[0].Service)
	assert.Equal(t, []float64{0, 0.2}, c[1].Service)
	assert.True(t, math.IsNaN(Curves([]experiment.Run{{Tally: model.Tally{Series: []model.Second{{}}}}})[0].Service[0]), "no service in a second without commands")
}

func TestPageIsCompleteAndLoadsNothing(t *testing.T) {
	s := &model.Spec{Name: "bad <day>", Seconds: 3, Seeds: []int{1, 2}, Faults: []model.Fault{{Kind: "hang", Backend: 2, At: 1, Duration: 1}}}
	one, err := Page(s, runs())
	require.NoError(t, err)
	two, err := Page(s, runs())
	require.NoError(t, err)
	assert.Equal(t, string(one), string(two), "the same runs give the same page")
	text := string(one)
	for _, want := range []string{"bad &lt;day&gt;", "a&lt;b", "<td>12.3</td>", "0.800", "a rule", "shard 0, backend 2", "module"} {
		assert.Contains(t, text, want)
	}
	for _, unwanted := range []string{"<script", "src=", "href=", "@import"} {
		assert.NotContains(t, text, unwanted)
	}
	svg := text[strings.Index(text, "<svg") : strings.Index(text, "</svg>")+6]
	d := xml.NewDecoder(strings.NewReader(svg))
	paths := 0
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == "path" {
			paths++
		}
	}
	assert.Greater(t, paths, 4, "two curves, the two lines of a fault, axes")
}

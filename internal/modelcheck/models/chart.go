package models

import (
	"bytes"
	"fmt"
	"html"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/modelcheck"
)

// Chart draws a trace as a sequence chart in SVG: a line for each party, and for each step a mark on the lines of the parties
// that take part in it.
func Chart(t Trace) []byte {
	var parties []string
	for i := range t.Bounds.Tools {
		parties = append(parties, fmt.Sprint("tool ", i))
	}
	for i := range t.Bounds.Agents {
		parties = append(parties, fmt.Sprint("agent ", i))
	}
	for i, c := range t.Bounds.Commands {
		parties = append(parties, fmt.Sprint(c, " ", i))
	}
	for i := range t.Bounds.Members {
		parties = append(parties, fmt.Sprint("member ", i))
	}
	const columnWidth, rowHeight, leftMargin, topMargin = 130, 26, 260, 50
	var b bytes.Buffer
	height := topMargin + rowHeight*(len(t.Steps)+3)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		leftMargin+columnWidth*max(1, len(parties)), height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, party := range parties {
		x := leftMargin + columnWidth*i + columnWidth/2
		fmt.Fprintf(&b, `<text x="%d" y="30" text-anchor="middle">%s</text><line x1="%d" y1="38" x2="%d" y2="%d" stroke="#999"/>`+"\n",
			x, html.EscapeString(party), x, x, height-2*rowHeight)
	}
	for i, step := range t.Steps {
		y := topMargin + rowHeight*i + rowHeight/2
		fmt.Fprintf(&b, `<text x="8" y="%d">%d  %s</text>`+"\n", y+4, i+1, html.EscapeString(step))
		var marks []int
		for _, p := range partiesOf(t, step) {
			for k, name := range parties {
				if name == p {
					marks = append(marks, leftMargin+columnWidth*k+columnWidth/2)
				}
			}
		}
		for _, x := range marks {
			fmt.Fprintf(&b, `<circle cx="%d" cy="%d" r="4"/>`+"\n", x, y)
		}
		if len(marks) == 2 {
			fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="black"/>`+"\n", marks[0], y, marks[1], y)
		}
	}
	fmt.Fprintf(&b, `<text x="8" y="%d" fill="#b00">broken: %s</text><text x="8" y="%d" fill="#b00">%s</text>`+"\n</svg>\n",
		height-rowHeight, html.EscapeString(t.Property), height-8, html.EscapeString(t.Detail))
	return b.Bytes()
}

// partiesOf returns the names of the parties that take part in a step.
func partiesOf(t Trace, step string) []string {
	words := strings.Fields(step)
	first := -1 // the first number in the step, an index of its party
	if len(words) > 1 {
		if n, err := strconv.Atoi(words[1]); err == nil {
			first = n
		}
	}
	switch modelcheck.Kind(step) {
	case "die", "back":
		return []string{strings.Join(words[1:], " ")}
	case "act", "crash":
		return []string{fmt.Sprint("agent ", first)}
	case "deliver", "lose", "deafen", "delay":
		return []string{fmt.Sprint("tool ", first)}
	case "report", "apply", "drain", "promote":
		return []string{fmt.Sprint("member ", first)}
	}
	if first >= 0 && first < len(t.Bounds.Commands) {
		return []string{fmt.Sprint(t.Bounds.Commands[first], " ", first)}
	}
	return nil
}

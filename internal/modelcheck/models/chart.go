package models

import (
	"bytes"
	"fmt"
	"html"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/modelcheck"
)

// Chart draws a trace as a sequence chart in SVG: a line for each party, and a mark for each step on the lines
// of those that take part in it.
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
	const wide, high, left, top = 130, 26, 260, 50
	var b bytes.Buffer
	height := top + high*(len(t.Steps)+3)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		left+wide*max(1, len(parties)), height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, p := range parties {
		x := left + wide*i + wide/2
		fmt.Fprintf(&b, `<text x="%d" y="30" text-anchor="middle">%s</text><line x1="%d" y1="38" x2="%d" y2="%d" stroke="#999"/>`+"\n",
			x, html.EscapeString(p), x, x, height-2*high)
	}
	for i, step := range t.Steps {
		y := top + high*i + high/2
		fmt.Fprintf(&b, `<text x="8" y="%d">%d  %s</text>`+"\n", y+4, i+1, html.EscapeString(step))
		var at []int
		for _, p := range partsOf(t, step) {
			for k, name := range parties {
				if name == p {
					at = append(at, left+wide*k+wide/2)
				}
			}
		}
		for _, x := range at {
			fmt.Fprintf(&b, `<circle cx="%d" cy="%d" r="4"/>`+"\n", x, y)
		}
		if len(at) == 2 {
			fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="black"/>`+"\n", at[0], y, at[1], y)
		}
	}
	fmt.Fprintf(&b, `<text x="8" y="%d" fill="#b00">broken: %s</text><text x="8" y="%d" fill="#b00">%s</text>`+"\n</svg>\n",
		height-high, html.EscapeString(t.Property), height-8, html.EscapeString(t.Detail))
	return b.Bytes()
}

// partsOf names the parties of a step.
func partsOf(t Trace, step string) []string {
	words := strings.Fields(step)
	number := -1 // of the party that the step names first
	if len(words) > 1 {
		if n, err := strconv.Atoi(words[1]); err == nil {
			number = n
		}
	}
	switch modelcheck.Kind(step) {
	case "die", "back":
		return []string{strings.Join(words[1:], " ")}
	case "act", "crash":
		return []string{fmt.Sprint("agent ", number)}
	case "deliver", "lose", "deafen", "delay":
		return []string{fmt.Sprint("tool ", number)}
	case "report", "apply", "drain", "promote":
		return []string{fmt.Sprint("member ", number)}
	}
	if number >= 0 && number < len(t.Bounds.Commands) {
		return []string{fmt.Sprint(t.Bounds.Commands[number], " ", number)}
	}
	return nil
}

package report

import (
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

func plotDraw(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }

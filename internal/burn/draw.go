package burn

import (
	"bytes"
	"fmt"
	"image/color"

	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// plotterColor returns colours that stay apart for readers with colour blindness.
func plotterColor(i int) color.Color {
	colors := []color.RGBA{
		{R: 213, G: 94, B: 0, A: 255},
		{R: 0, G: 114, B: 178, A: 255},
		{R: 0, G: 158, B: 115, A: 255},
	}
	return colors[i%len(colors)]
}

func newDrawer(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }

// stripProlog removes the XML declaration, which is not allowed inside HTML.
func stripProlog(svg []byte) []byte {
	if i := bytes.Index(svg, []byte("<svg")); i >= 0 {
		return svg[i:]
	}
	return svg
}

func formatPercent(v float64) string { return fmt.Sprintf("%.3f %%", 100*v) }

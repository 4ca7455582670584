package burn

import (
	"bytes"
	"fmt"
	"image/color"

	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// curveColor returns the colour of the curve with index i. The colours can be told
// apart by readers with colour blindness.
func curveColor(i int) color.Color {
	colors := []color.RGBA{
		{R: 213, G: 94, B: 0, A: 255},
		{R: 0, G: 114, B: 178, A: 255},
		{R: 0, G: 158, B: 115, A: 255},
	}
	return colors[i%len(colors)]
}

func newCanvas(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }

// stripProlog removes everything before the svg element, since an XML declaration is not allowed inside HTML.
func stripProlog(svg []byte) []byte {
	if i := bytes.Index(svg, []byte("<svg")); i >= 0 {
		return svg[i:]
	}
	return svg
}

func formatPercent(v float64) string { return fmt.Sprintf("%.3f %%", 100*v) }

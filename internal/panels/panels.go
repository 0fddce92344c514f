// Package panels draws several plots as one image, one above the other.
package panels

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// WritePNG draws the plots from top to bottom, each of the given size, and writes the
// image to w in PNG format. It returns the error of w.
func WritePNG(w io.Writer, width, height vg.Length, plots []*plot.Plot) error {
	canvas := vgimg.New(width, height*vg.Length(len(plots)))
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadTop: vg.Millimeter, PadBottom: vg.Millimeter}
	area := draw.New(canvas)
	for i, p := range plots {
		p.Draw(tiles.At(area, 0, i))
	}
	_, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(w)
	return err
}

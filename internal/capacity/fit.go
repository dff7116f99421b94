package capacity

import (
	"fmt"
	"io"
	"math"
)

// Point is one measurement.
type Point struct{ X, Y float64 }

// Fit is the least-squares line Y = Base + Slope*X.
type Fit struct {
	Base, Slope float64
	// Residual is the root mean square of the differences, as a part of the mean of Y.
	Residual float64
}

// FitLine fits a line to at least two points with different X.
func FitLine(points []Point) Fit {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n, sx, sy, sxx, sxy = n+1, sx+p.X, sy+p.Y, sxx+p.X*p.X, sxy+p.X*p.Y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f := Fit{Base: (sy - slope*sx) / n, Slope: slope}
	for _, p := range points {
		d := p.Y - f.At(p.X)
		f.Residual += d * d
	}
	if sy != 0 {
		f.Residual = math.Sqrt(f.Residual/n) / math.Abs(sy/n)
	}
	return f
}

// At returns the value of the line.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// Series is a measured quantity at several sizes.
type Series struct {
	Role, Quantity, Unit, Size string
	Points                     []Point
	// Design is the size to project to.
	Design float64
}

// write prints the points, the line and the projection.
func (s Series) write(w io.Writer) {
	fmt.Fprintf(w, "%-13s %s [%s] by %s:", s.Role, s.Quantity, s.Unit, s.Size)
	for _, p := range s.Points {
		fmt.Fprintf(w, " %.4g:%.4g", p.X, p.Y)
	}
	f := FitLine(s.Points)
	fmt.Fprintf(w, "\n%-13s   = %.4g + %.4g * size, residual %.1f%%", "", f.Base, f.Slope, 100*f.Residual)
	fmt.Fprintf(w, "; at %.0f: %.4g %s\n", s.Design, f.At(s.Design), s.Unit)
}

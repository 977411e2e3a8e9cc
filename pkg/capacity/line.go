package capacity

// Point is one measurement: the figure Y seen at the size X.
type Point struct{ X, Y float64 }

// Line is a cost that grows with one size: Fixed + Slope times the size.
type Line struct{ Fixed, Slope float64 }

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Fixed + l.Slope*size }

// Fit returns the line with the least squares of relative errors, so that the small sizes count as much as the large
// ones. Points must have a positive Y and at least two different X.
func Fit(points ...Point) Line {
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		weight := 1 / (p.Y * p.Y)
		w += weight
		wx += weight * p.X
		wy += weight * p.Y
		wxx += weight * p.X * p.X
		wxy += weight * p.X * p.Y
	}
	slope := (w*wxy - wx*wy) / (w*wxx - wx*wx)
	return Line{Fixed: (wy - slope*wx) / w, Slope: slope}
}

// Constant returns the mean of figures that do not grow with the size.
func Constant(points ...Point) Line {
	var sum float64
	for _, p := range points {
		sum += p.Y
	}
	return Line{Fixed: sum / float64(len(points))}
}

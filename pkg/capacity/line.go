package capacity

// Point is one measurement: the cost Y at the size X.
type Point struct{ X, Y float64 }

// Line is a cost that grows linearly with one size: Fixed + Slope times the size.
type Line struct{ Fixed, Slope float64 }

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Fixed + l.Slope*size }

// Fit returns the line with the least sum of squared relative errors. Errors are relative so that small sizes weigh as
// much as large ones. Every Y must be positive, and there must be at least two different X.
func Fit(points ...Point) Line {
	var sumWeight, wx, wy, wxx, wxy float64
	for _, p := range points {
		weight := 1 / (p.Y * p.Y)
		sumWeight += weight
		wx += weight * p.X
		wy += weight * p.Y
		wxx += weight * p.X * p.X
		wxy += weight * p.X * p.Y
	}
	slope := (sumWeight*wxy - wx*wy) / (sumWeight*wxx - wx*wx)
	return Line{Fixed: (wy - slope*wx) / sumWeight, Slope: slope}
}

// Constant returns a line of slope 0 through the mean of the points, for costs that do not grow with the size.
func Constant(points ...Point) Line {
	var sum float64
	for _, p := range points {
		sum += p.Y
	}
	return Line{Fixed: sum / float64(len(points))}
}

package capacity

import "gonum.org/v1/gonum/stat"

// Slope is a linear fit of a cost over a count.
type Slope struct {
	// Name is the measured cost, Per the unit that is counted.
	Name string `json:"name"`
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Counts and Values are the measured points.
	Counts []float64 `json:"counts"`
	Values []float64 `json:"values"`
	// Intercept and Slope are the least-squares line, in Unit and Unit per Per.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// RSquared is the coefficient of determination: 1 is a perfect fit.
	RSquared float64 `json:"r_squared"`
}

// At returns the fitted cost at a count.
func (s Slope) At(count float64) float64 { return s.Intercept + s.Slope*count }

func fit(name, unit, per string, counts, values []float64) Slope {
	intercept, slope := stat.LinearRegression(counts, values, nil, false)
	return Slope{
		Name: name, Unit: unit, Per: per, Counts: counts, Values: values,
		Intercept: intercept, Slope: slope,
		RSquared: stat.RSquared(counts, values, nil, intercept, slope),
	}
}

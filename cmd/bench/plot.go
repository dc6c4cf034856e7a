package main

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 4 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// plotSeries writes a plot of a series to a PNG file, which is named after the
// series in lower case with hyphens.
func plotSeries(dir string, ser *series) error {
	plt := plot.New()
	plt.Title.Text = ser.Name
	plt.X.Label.Text = ser.XLabel
	plt.Y.Label.Text = ser.YLabel
	plt.Y.Min = 0
	points := make(plotter.XYs, len(ser.X))
	for i := range ser.X {
		points[i].X, points[i].Y = ser.X[i], ser.Y[i]
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	plt.Add(plotter.NewGrid(), line, marks)
	file := strings.ReplaceAll(strings.ToLower(ser.Name), " ", "-") + ".png"
	return plt.Save(plotWidth, plotHeight, filepath.Join(dir, file))
}

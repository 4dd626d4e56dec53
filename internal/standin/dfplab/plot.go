package dfplab

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth = 22 * vg.Centimeter
	// legendHeadroom multiplies the upper end of the y axis, so that the legend does not cover the lines.
	legendHeadroom = 1.25
	plotHeight     = 11 * vg.Centimeter
)

// plotGoodput writes a PNG plot of goodput over time with one line per variant and returns its path.
func plotGoodput(cfg Config, report *Report) (string, error) {
	if err := os.MkdirAll(cfg.PlotDir, 0o755); err != nil {
		return "", err
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d: the fault lasts from %g s to %g s",
		cfg.Deployment, cfg.Scenario, cfg.Seed, report.BeforeS, report.BeforeS+report.FaultS)
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "whole requests completed per s"
	var lines []any
	for _, v := range report.Variants {
		lines = append(lines, v.Variant, goodputPoints(cfg, v))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", err
	}
	p.Legend.Top = true
	p.Y.Min = 0
	p.Y.Max *= legendHeadroom
	file := filepath.Join(cfg.PlotDir, fmt.Sprintf("%s-%s-%d.png", cfg.Deployment, cfg.Scenario, cfg.Seed))
	return file, p.Save(plotWidth, plotHeight, file)
}

func goodputPoints(cfg Config, v VariantReport) plotter.XYs {
	f := analysis{cfg: cfg, result: v.result}
	var points plotter.XYs
	for at := time.Duration(0); at < cfg.duration(); at += v.result.BinWidth {
		c := f.sum(window{at, at + v.result.BinWidth}, nil)
		points = append(points, plotter.XY{X: at.Seconds(), Y: float64(c.completed) / v.result.BinWidth.Seconds()})
	}
	return points
}

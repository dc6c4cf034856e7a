// Command bench measures the slopes behind docs/CAPACITY.md and the trials
// behind docs/DESIGN.md. It prints tables and writes JSON and plots.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// series is one measured slope: a value at each point.
type series struct {
	Name   string    `json:"name"`
	XLabel string    `json:"xLabel"`
	YLabel string    `json:"yLabel"`
	X      []float64 `json:"x"`
	Y      []float64 `json:"y"`
}

// row is one figure that is no slope.
type row struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// report is everything that one run measured.
type report struct {
	Series []*series `json:"series"`
	Rows   []row     `json:"rows"`
}

func (rep *report) slope(name, xLabel, yLabel string) *series {
	ser := &series{Name: name, XLabel: xLabel, YLabel: yLabel}
	rep.Series = append(rep.Series, ser)
	return ser
}

func (ser *series) add(x, y float64) {
	ser.X = append(ser.X, x)
	ser.Y = append(ser.Y, y)
}

func (rep *report) figure(name string, value float64, unit string) {
	rep.Rows = append(rep.Rows, row{name, value, unit})
	fmt.Printf("%-58s %14.4f %s\n", name, value, unit)
}

func main() {
	app := kingpin.New("bench", "Measure the slopes behind the capacity page.")
	out := app.Flag("out", "Directory for JSON and plots.").Default("docs/bench").String()
	parts := app.Flag("parts", "What to measure, separated by commas.").Default("core,trials,relay,fleet,flows").String()
	measure := app.Command("measure", "Measure and write the report.").Default()
	relay := app.Command("relay", "Forward datagrams, as a child of measure.").Hidden()
	kind := relay.Arg("kind", "bare or balancer").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case measure.FullCommand():
		if err := run(*out, strings.Split(*parts, ",")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	case relay.FullCommand():
		runRelay(*kind)
	}
}

func run(out string, parts []string) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	for _, part := range parts {
		rep := &report{}
		if err := measurePart(part, rep); err != nil {
			return err
		}
		for _, ser := range rep.Series {
			printSeries(ser)
			if err := plotSeries(out, ser); err != nil {
				return err
			}
		}
		raw, err := json.MarshalIndent(rep, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(out, part+".json"), append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// unknownPartError reports a part that the bench does not have.
type unknownPartError struct{ part string }

func (err *unknownPartError) Error() string { return "no part called " + err.part }

func measurePart(part string, rep *report) error {
	switch part {
	case "core":
		return measureCore(rep)
	case "trials":
		return measureTrials(rep)
	case "relay":
		return measureRelay(rep)
	case "fleet":
		return measureFleet(rep)
	case "flows":
		return measureFlows(rep)
	default:
		return &unknownPartError{part}
	}
}

func printSeries(ser *series) {
	fmt.Printf("%s (%s by %s)\n", ser.Name, ser.YLabel, ser.XLabel)
	for i := range ser.X {
		fmt.Printf("  %10.0f  %14.4f\n", ser.X[i], ser.Y[i])
	}
}

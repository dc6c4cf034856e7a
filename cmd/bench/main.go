// Command bench measures how the cost of lagoondrum grows with its size, for
// docs/CAPACITY.md, and compares its policies with simpler ones in simulations,
// for docs/DESIGN.md. It prints tables and writes JSON and plots.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// series is a quantity measured at several sizes, one point per size.
type series struct {
	Name   string    `json:"name"`
	XLabel string    `json:"xLabel"`
	YLabel string    `json:"yLabel"`
	X      []float64 `json:"x"`
	Y      []float64 `json:"y"`
}

// row is a single measured value.
type row struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// report holds the results of one part of the benchmark.
type report struct {
	Series []*series `json:"series"`
	Rows   []row     `json:"rows"`
}

// addSeries adds an empty series to the report and returns it.
func (rep *report) addSeries(name, xLabel, yLabel string) *series {
	ser := &series{Name: name, XLabel: xLabel, YLabel: yLabel}
	rep.Series = append(rep.Series, ser)
	return ser
}

// addPoint appends one measured point.
func (ser *series) addPoint(x, y float64) {
	ser.X = append(ser.X, x)
	ser.Y = append(ser.Y, y)
}

// addRow adds a single value to the report and prints it.
func (rep *report) addRow(name string, value float64, unit string) {
	rep.Rows = append(rep.Rows, row{name, value, unit})
	fmt.Printf("%-58s %14.4f %s\n", name, value, unit)
}

func main() {
	app := kingpin.New("bench", "Measure the figures of docs/CAPACITY.md and docs/DESIGN.md.")
	out := app.Flag("out", "Directory for JSON and plots.").Default("docs/bench").String()
	parts := app.Flag("parts", "Parts to measure, separated by commas.").Default("core,trials,load,relay,fleet,flows").String()
	measure := app.Command("measure", "Measure the parts and write their reports.").Default()
	relay := app.Command("relay", "Forward datagrams to the sink that measure opens; measure runs this as a child process.").Hidden()
	kind := relay.Arg("kind", "Kind of relay: bare or balancer.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case measure.FullCommand():
		if err := runParts(*out, strings.Split(*parts, ",")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	case relay.FullCommand():
		runRelay(*kind)
	}
}

// runParts measures each part, prints its series and writes PART.json and the
// plots to the directory out.
func runParts(out string, parts []string) error {
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

// unknownPartError reports a value of --parts that is not a part.
type unknownPartError struct{ part string }

func (err *unknownPartError) Error() string { return "unknown part in --parts: " + err.part }

// measurePart measures one part into a report.
func measurePart(part string, rep *report) error {
	switch part {
	case "core":
		return measureCore(rep)
	case "trials":
		return measureTrials(rep)
	case "load":
		return measureLoad(rep)
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

// printSeries prints a series as a table.
func printSeries(ser *series) {
	fmt.Printf("%s (%s by %s)\n", ser.Name, ser.YLabel, ser.XLabel)
	for i := range ser.X {
		fmt.Printf("  %10.0f  %14.4f\n", ser.X[i], ser.Y[i])
	}
}

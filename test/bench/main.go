// Command bench measures the figures of docs/BENCH.md. Each benchmark prints its measurements and, at the end, a line
// for each figure: "figure NAME VALUE target VALUE ok|short", where "target" is
// followed by the required value and "short" means that it is missed.
package main

import (
	"context"
	"fmt"
	"os"

	"monsoonstep/test/fleet"
)

// benchmarks maps the name on the command line to the benchmark. relay is not a benchmark: route starts it as a
// process of its own.
var benchmarks = map[string]func(context.Context, string) error{
	"route":   benchRoute,
	"balance": benchBalance,
	"control": benchControl,
	"flows":   benchFlows,
	"relay":   runBareRelay,
}

func main() {
	if len(os.Args) < 2 || benchmarks[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bench route|balance|control|flows")
		os.Exit(2)
	}
	if os.Args[1] != "relay" {
		fleet.ExitOnSignal()
	}
	ctx := context.Background()
	dir, err := os.MkdirTemp("", "monsoonstep-bench-")
	if err == nil {
		err = benchmarks[os.Args[1]](ctx, dir)
	}
	_ = os.RemoveAll(dir)
	printFigures()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// figure is a measured value and the value that is required of it.
type figure struct {
	name     string
	value    float64
	required float64
	// lowerBound is true if required is the lowest accepted value, and false if it is the highest.
	lowerBound bool
}

var figures []figure

// checkAtMost records a figure and its highest accepted value.
func checkAtMost(name string, value, required float64) {
	figures = append(figures, figure{name, value, required, false})
}

// checkAtLeast records a figure and its lowest accepted value.
func checkAtLeast(name string, value, required float64) {
	figures = append(figures, figure{name, value, required, true})
}

func printFigures() {
	fmt.Println()
	for _, f := range figures {
		state := "short"
		if f.lowerBound && f.value >= f.required || !f.lowerBound && f.value <= f.required {
			state = "ok"
		}
		fmt.Printf("figure %s %.4g target %.4g %s\n", f.name, f.value, f.required, state)
	}
}

// newFleet builds the programs and creates a fleet in dir with the given number, which selects its loopback addresses.
func newFleet(dir string, number int) (*fleet.Fleet, error) {
	work := dir + "/run"
	if err := os.MkdirAll(work, 0o755); err != nil {
		return nil, err
	}
	if err := fleet.Build(".", dir); err != nil {
		return nil, err
	}
	return fleet.New(work, dir, number)
}

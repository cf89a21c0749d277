// Command capacity measures the processor time, memory and durations of each
// process role at several sizes. It writes the tables to the standard output, and
// on request to the measured block of docs/CAPACITY.md and to a JSON file.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/measurer"
)

type options struct {
	binary   string
	pagePath string
	jsonPath string
	only     string
	runs     int
	divisor  int
	window   time.Duration
}

func main() {
	var opts options
	flag.StringVar(&opts.binary, "binary", "", "built damaskspread command; without it no real processes are measured")
	flag.StringVar(&opts.pagePath, "page", "", "Markdown file, the text between whose measured markers is replaced")
	flag.StringVar(&opts.jsonPath, "json", "", "file for the report as JSON; - writes JSON instead of tables to the standard output")
	flag.StringVar(&opts.only, "only", "", "comma-separated steps: state, replay, requests, log, joins, configuration, daemons; all if empty")
	flag.IntVar(&opts.runs, "runs", 3, "runs at each size")
	flag.IntVar(&opts.divisor, "divisor", 1, "divides all sizes, for a quick run")
	flag.DurationVar(&opts.window, "window", 1200*time.Millisecond, "how long each steady state is observed")
	flag.Parse()
	// The emulated agents log each start; the report needs only their errors.
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, opts)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts options) error {
	start := time.Now()
	m := &measurer.Measurer{
		Binary:  opts.binary,
		Runs:    opts.runs,
		Divisor: opts.divisor,
		Window:  opts.window,
		Progress: func(step string) {
			fmt.Fprintf(os.Stderr, "%6.1fs %s\n", time.Since(start).Seconds(), step)
		},
	}
	if opts.only != "" {
		m.Only = strings.Split(opts.only, ",")
	}
	report, err := m.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%6.1fs done\n", time.Since(start).Seconds())
	if opts.jsonPath != "-" {
		fmt.Print(report.Markdown())
	}
	if err := writeJSON(opts.jsonPath, report); err != nil {
		return err
	}
	return writePage(opts.pagePath, report)
}

func writeJSON(path string, report *measurer.Report) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if path == "-" {
		_, err = fmt.Println(string(data))
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

func writePage(path string, report *measurer.Report) error {
	if path == "" {
		return nil
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	replaced, err := measurer.ReplaceBlock(string(page), report.Markdown())
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(replaced), 0o644)
}

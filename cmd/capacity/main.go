// Command capacity measures what each role costs at several sizes and writes
// the measured part of docs/CAPACITY.md.
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
	binary  string
	page    string
	json    string
	only    string
	runs    int
	divisor int
	window  time.Duration
}

func main() {
	var o options
	flag.StringVar(&o.binary, "binary", "", "built damaskspread command; without it no real processes are measured")
	flag.StringVar(&o.page, "page", "", "page whose measured part is replaced")
	flag.StringVar(&o.json, "json", "", "file for the figures as JSON; - for the standard output")
	flag.StringVar(&o.only, "only", "", "comma-separated steps: state, replay, requests, log, joins, configuration, daemons; all if empty")
	flag.IntVar(&o.runs, "runs", 3, "runs at each size")
	flag.IntVar(&o.divisor, "divisor", 1, "divides all sizes, for a trial")
	flag.DurationVar(&o.window, "window", 1200*time.Millisecond, "how long a steady state is observed")
	flag.Parse()
	// The emulated agents log each start; only faults matter here.
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	began := time.Now()
	m := &measurer.Measurer{
		Binary:  o.binary,
		Runs:    o.runs,
		Divisor: o.divisor,
		Window:  o.window,
		Progress: func(step string) {
			fmt.Fprintf(os.Stderr, "%6.1fs %s\n", time.Since(began).Seconds(), step)
		},
	}
	if o.only != "" {
		m.Only = strings.Split(o.only, ",")
	}
	report, err := m.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%6.1fs done\n", time.Since(began).Seconds())
	if o.json != "-" {
		fmt.Print(report.Markdown())
	}
	if err := writeJSON(o.json, report); err != nil {
		return err
	}
	return writePage(o.page, report)
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

// Command standins starts the programs of the deploy file with stand-ins for the
// platform's store, executors and clients, and plays one case of the review.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	held      = 0
	broken    = 1
	couldNot  = 2
	playLimit = 115 * time.Second
)

// cases are the cases by the name that run.sh passes. The second argument tells
// whether the disruption happens.
var cases = map[string]func(f *fleet, trouble bool) int{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM FOLDER")
		os.Exit(couldNot)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(couldNot)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	out, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	rec := &recorder{out: bufio.NewWriter(out), started: time.Now()}
	status := couldNot
	f := newFleet(dir, os.Args[2], rec)
	finished := make(chan int, 1)
	go func() {
		defer func() {
			if problem := recover(); problem != nil {
				rec.write("the case could not run: %v", problem)
				finished <- couldNot
			}
		}()
		finished <- play(f, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case status = <-finished:
	case <-time.After(playLimit):
		rec.write("the case did not end in time")
	}
	f.stopAll()
	rec.write("exit status %d", status)
	rec.flush()
	_ = out.Close()
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		fmt.Fprintln(os.Stderr, "kept:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	os.Exit(status)
}

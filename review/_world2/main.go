// Command world plays one case of the second review: it starts the programs of the
// deploy file as separate processes on loopback addresses, beside stand-ins for the
// platform's store, the executors, the operator and the clients, and checks one rule
// by what these have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2

	// maxRunTime is a little less than a script may take.
	maxRunTime = 110 * time.Second
)

// scenario plays a case and returns what broke the rule, or nothing.
type scenario func(w *World, trouble bool) []string

var scenarios = map[string]scenario{
	"kept-room":    playKeptRoom,
	"many-ends":    playManyEnds,
	"crash-loop":   playCrashLoop,
	"lost-replica": playLostReplica,
	"new-service":  playNewService,
}

var children struct {
	mu      sync.Mutex
	running map[*os.Process]bool
	scratch string
}

func track(p *os.Process) {
	children.mu.Lock()
	defer children.mu.Unlock()
	children.running[p] = true
}

func untrack(p *os.Process) {
	children.mu.Lock()
	defer children.mu.Unlock()
	delete(children.running, p)
}

// exit ends the processes that were started, removes the scratch folder and exits.
func exit(code int) {
	children.mu.Lock()
	for p := range children.running {
		_ = p.Kill()
		_, _ = p.Wait()
	}
	if children.scratch != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(children.scratch)
	}
	os.Exit(code)
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	children.running = map[*os.Process]bool{}
	play := scenarios[*name]
	if play == nil {
		fail("unknown case %q", *name)
	}
	record, err := os.Create(*recordPath)
	if err != nil {
		fail("%v", err)
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fail("%v", err)
	}
	scratch, err := os.MkdirTemp("", "review-world")
	if err != nil {
		fail("%v", err)
	}
	children.scratch = scratch
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", scratch)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		fail("stopped before the case ended")
	}()
	w := &World{
		Root:    absolute,
		Scratch: scratch,
		Binary:  filepath.Join(absolute, "target", "damaskspread"),
		HoldMax: 10 * time.Second,
		began:   time.Now(),
		record:  record,
		jobs:    map[string]*Job{},
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.Notef("case %s, disruption: %t", *name, trouble)
	broken := play(w, trouble)
	for i, line := range broken {
		if i == 20 {
			w.Notef("and %d more", len(broken)-i)
			break
		}
		w.Notef("BROKEN %s", line)
	}
	w.Notef("%d starts, %d ends, the rule was broken %d times", len(w.Starts), len(w.Ends), len(broken))
	fmt.Printf("%s: the rule was broken %d times\n", *name, len(broken))
	if len(broken) > 0 {
		exit(exitBroken)
	}
	exit(exitHeld)
}

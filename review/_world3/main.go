// Command world3 plays a case of the review: it starts the project's programs beside
// stand-ins of the platform's store and executors, and checks a rule on what these saw.
//
//	world3 CASE ROOT RECORD
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases play one case each. They return the exit code, the verdict and its grounds.
var cases = map[string]func(r *record, root string, trouble bool) (int, string, []string){
	"many-ends":     playManyEnds,
	"may-miss":      playMayMiss,
	"gang-alone":    playGangAlone,
	"early-running": playEarlyRunning,
	"crash-loop":    playCrashLoop,
	"late-post":     playLatePost,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE ROOT RECORD")
		os.Exit(couldNot)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	endChildrenWithUs()
	code, verdict, grounds := cases[os.Args[1]](r, os.Args[2], os.Getenv("TROUBLE") != "0")
	r.close(verdict, grounds)
	os.Exit(code)
}

// endChildrenWithUs kills the processes that this program started if it is told to end.
func endChildrenWithUs() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		killChildren()
		os.Exit(couldNot)
	}()
}

// Command damaskspread runs the daemons and the command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"damaskspread.example/damaskspread/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	commands := &commander.Commander{
		Out: os.Stdout,
		Err: os.Stderr,
		In:  os.Stdin,
	}
	code := commands.Execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

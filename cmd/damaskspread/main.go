// Command damaskspread runs the daemons and the command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread/commander"
	"damaskspread.example/damaskspread/launcher"
	"damaskspread.example/damaskspread/server"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	commands := &commander.Commander{
		Out: os.Stdout,
		Err: os.Stderr,
		In:  os.Stdin,
	}
	daemons := server.Daemons{
		Clock:   clockwork.NewRealClock(),
		Version: commands.VersionText(),
		Out:     os.Stdout,
	}
	commands.Entry = daemons.Entry
	commands.Agent = daemons.Agent
	commands.Emulator = daemons.Emulator
	commands.Dev = daemons.Dev
	jobs := launcher.Daemons{
		Clock:  clockwork.NewRealClock(),
		Reload: commands.LoadJobSettings,
	}
	commands.JobEntry = jobs.Entry
	commands.JobAgent = jobs.Agent
	code := commands.Execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// Command damaskspread is the program for operators and for all daemons: package
// commander parses the command line, packages server and launcher run the
// daemons.
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
	serverDaemons := server.Daemons{
		Clock:   clockwork.NewRealClock(),
		Version: commands.VersionText(),
		Out:     os.Stdout,
	}
	commands.Entry = serverDaemons.Entry
	commands.Agent = serverDaemons.Agent
	commands.Emulator = serverDaemons.Emulator
	commands.Dev = serverDaemons.Dev
	jobDaemons := launcher.Daemons{
		Clock:  clockwork.NewRealClock(),
		Reload: commands.LoadJobSettings,
	}
	commands.JobEntry = jobDaemons.Entry
	commands.JobAgent = jobDaemons.Agent
	exitCode := commands.Execute(ctx, os.Args[1:])
	stop()
	os.Exit(exitCode)
}

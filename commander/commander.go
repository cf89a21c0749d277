// Package commander is the command line: it starts the daemons and calls the
// HTTP interface of an entry process.
//
// It owns no state and starts no goroutine. The run functions of the daemons
// are fields, so that the package does not depend on the daemons.
//
// Open questions: none.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/validator"
)

// Exit codes of the command line.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitNotRun   = 3
	ExitUnknown  = 4
	ExitConflict = 5
	ExitInvalid  = 6
)

// RunFunc runs a daemon until the context ends.
type RunFunc func(ctx context.Context, settings *validator.Settings) error

// Commander runs one command line.
type Commander struct {
	Out io.Writer
	Err io.Writer
	In  io.Reader
	// Version is printed by version; the module's version by default.
	Version string

	// Run functions of the daemons. A nil one makes its command check the
	// settings and say so.
	Entry    RunFunc
	Agent    RunFunc
	Emulator RunFunc
	Dev      RunFunc
	JobEntry JobRunFunc
	JobAgent JobRunFunc

	entries []string
	team    string
	actor   string
	output  string
	timeout time.Duration
}

// usageError is a wrong command line.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

func usage(format string, args ...any) error {
	return &usageError{
		cause: fmt.Errorf(format, args...),
	}
}

// ranError marks an error of a command that ran, as opposed to cobra's own
// errors about the command line.
type ranError struct {
	cause error
}

func (e *ranError) Error() string { return e.cause.Error() }

func (e *ranError) Unwrap() error { return e.cause }

// Execute runs the command line and returns the exit code.
func (c *Commander) Execute(ctx context.Context, args []string) int {
	root := c.Root()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	c.printError(err)
	return exitCode(err)
}

// exitCode follows the reason before the outcome: a conflict or an invalid
// text needs another answer than a refusal that may be repeated.
func exitCode(err error) int {
	var usageErr *usageError
	var ran *ranError
	var invalid *validator.InvalidError
	var refusal *damaskspread.RefusalError
	switch {
	case errors.As(err, &usageErr) || !errors.As(err, &ran):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalid
	case !errors.As(err, &refusal):
		return ExitFailure
	}
	if damaskspread.OutcomeName(refusal.Outcome) == client.Unknown {
		return ExitUnknown
	}
	switch refusal.Reason {
	case damaskspread.ReasonConflict, damaskspread.ReasonKeyReused:
		return ExitConflict
	case damaskspread.ReasonInvalid, damaskspread.ReasonBadRequest, damaskspread.ReasonTooLarge:
		return ExitInvalid
	case damaskspread.ReasonNotFound, damaskspread.ReasonNotOwner, damaskspread.ReasonUnknownService:
		return ExitFailure
	default:
		return ExitNotRun
	}
}

// Root builds the command tree.
func (c *Commander) Root() *cobra.Command {
	root := &cobra.Command{
		Use:   "damaskspread",
		Short: "Schedule latency-critical services and batch tasks on the same hosts",
		Long: `damaskspread schedules latency-critical services and batch tasks on the same hosts.

Exit codes: 0 ok, 1 failure, 2 wrong command line, 3 not run, 4 unknown (may
have run), 5 conflict, 6 invalid.`,
		Example:       "  damaskspread status --entry 10.20.0.1:7400\n  damaskspread zone out gaspe --team platform",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	root.SetIn(c.In)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{cause: err} })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.entries, "entry", []string{"127.0.0.1:7400"}, "address (ip:port) of an entry process; repeat it for more")
	flags.StringVar(&c.team, "team", "", "team that asks for the change")
	flags.StringVar(&c.actor, "actor", "", "name of the operator in the audit trail")
	flags.StringVarP(&c.output, "output", "o", "table", "table or json")
	flags.DurationVar(&c.timeout, "timeout", 15*time.Second, "deadline of the whole command; 2s for request")
	root.AddCommand(c.daemons()...)
	root.AddCommand(c.jobDaemons()...)
	root.AddCommand(c.configCommand(), c.zoneCommand(), c.taskCommand(), c.hostCommand(), c.endpointCommand(),
		c.serviceCommand(), c.auditCommand(), c.statusCommand(), c.requestCommand(), c.explainCommand(), c.versionCommand())
	root.InitDefaultCompletionCmd()
	addCompletionExamples(root)
	group(root)
	return root
}

func addCompletionExamples(root *cobra.Command) {
	for _, command := range root.Commands() {
		if command.Name() != "completion" {
			continue
		}
		command.Example = "  damaskspread completion bash"
		for _, shell := range command.Commands() {
			shell.Example = "  damaskspread completion " + shell.Name()
		}
	}
}

// group makes a command without subcommand a usage error, and names the
// nearest subcommand for a misspelled one.
func group(command *cobra.Command) {
	for _, child := range command.Commands() {
		group(child)
	}
	if !command.HasSubCommands() || command.Runnable() {
		return
	}
	command.Args = cobra.ArbitraryArgs
	command.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			_ = cmd.Help()
			return usage("%s needs a subcommand", cmd.CommandPath())
		}
		var names []string
		for _, child := range cmd.Commands() {
			names = append(names, child.Name())
		}
		if near := validator.Nearest(args[0], names); near != "" {
			return usage("%s has no command %q; did you mean %q?", cmd.CommandPath(), args[0], near)
		}
		return usage("%s has no command %q", cmd.CommandPath(), args[0])
	}
}

// run marks the errors of a command that ran.
func (c *Commander) run(body func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if c.output != "table" && c.output != "json" {
			return usage("--output is table or json, found %q", c.output)
		}
		if err := body(cmd, args); err != nil {
			return &ranError{
				cause: err,
			}
		}
		return nil
	}
}

// call runs a command that calls an entry process.
func (c *Commander) call(body func(ctx context.Context, caller *client.Client, args []string) error) func(*cobra.Command, []string) error {
	return c.run(func(cmd *cobra.Command, args []string) error {
		for _, entry := range c.entries {
			if !validator.IsAddress(entry) {
				return usage("--entry is ip:port, found %q", entry)
			}
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
		defer cancel()
		return body(ctx, &client.Client{
			Entries: c.entries,
			Team:    c.team,
			Actor:   c.actor,
		}, args)
	})
}

func (c *Commander) needTeam() error {
	if !validator.IsName(c.team) {
		return usage("--team is required for a change")
	}
	return nil
}

func (c *Commander) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  damaskspread version",
		Args:    cobra.NoArgs,
		RunE: c.run(func(*cobra.Command, []string) error {
			return c.print(map[string]string{"version": c.VersionText()}, func(t *table) { t.row(c.VersionText()) })
		}),
	}
}

// VersionText is what the version command prints.
func (c *Commander) VersionText() string {
	if c.Version != "" {
		return c.Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

// readFile reads a file, or standard input for "-".
func (c *Commander) readFile(path string) (string, error) {
	if path == "-" {
		data, err := io.ReadAll(c.In)
		return string(data), err
	}
	data, err := os.ReadFile(path)
	return string(data), err
}

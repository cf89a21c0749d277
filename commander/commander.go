// Package commander implements the damaskspread command line with cobra. Its
// commands run the daemons, or call the HTTP API of an entry process through
// package client, whose HTTP handlers are in package operator.
//
// A Commander holds the flags of one command line. The package has no goroutines.
// The functions that run the daemons are fields of Commander, so that the package
// does not depend on the daemons.
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

// Exit codes of the command line. ExitNotRun and ExitUnknown are outcomes of a
// refused request: it certainly did not run, or it may have run.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitNotRun   = 3
	ExitUnknown  = 4
	ExitConflict = 5
	ExitInvalid  = 6
)

// RunFunc runs a daemon until the context is canceled.
type RunFunc func(ctx context.Context, settings *validator.Settings) error

// Commander parses and runs one command line. It is not safe for concurrent use.
type Commander struct {
	Out io.Writer
	Err io.Writer
	In  io.Reader
	// Version is the text that the version command prints. The default is the
	// module's version.
	Version string

	// Functions that run the daemons. The command of a nil function only
	// validates the settings.
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

// usageError reports an invalid command line. Its exit code is ExitUsage.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

func usageErrorf(format string, args ...any) error {
	return &usageError{
		cause: fmt.Errorf(format, args...),
	}
}

// runError wraps an error that a command returned. Errors without it come from
// cobra's parsing of the command line.
type runError struct {
	cause error
}

func (e *runError) Error() string { return e.cause.Error() }

func (e *runError) Unwrap() error { return e.cause }

// Execute runs the command line, prints an error to Err, and returns the exit code.
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

// exitCode returns the exit code for an error. If a refused request did not run, the
// reason decides: a script must not repeat a conflict or an invalid request, but
// may repeat one that ends with ExitNotRun.
func exitCode(err error) int {
	var usageErr *usageError
	var runErr *runError
	var invalidErr *validator.InvalidError
	var refusalErr *damaskspread.RefusalError
	switch {
	case errors.As(err, &usageErr) || !errors.As(err, &runErr):
		return ExitUsage
	case errors.As(err, &invalidErr):
		return ExitInvalid
	case !errors.As(err, &refusalErr):
		return ExitFailure
	}
	if damaskspread.OutcomeName(refusalErr.Outcome) == client.OutcomeUnknown {
		return ExitUnknown
	}
	switch refusalErr.Reason {
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

// Root returns a new command tree with all commands and flags.
func (c *Commander) Root() *cobra.Command {
	root := &cobra.Command{
		Use:   "damaskspread",
		Short: "Schedule latency-critical services and batch tasks on the same hosts",
		Long: `damaskspread schedules latency-critical services and batch tasks on the same hosts.

Exit codes: 0 success, 1 failure, 2 invalid command line, 3 request not run,
4 outcome unknown (the request may have run), 5 conflict, 6 invalid input.`,
		Example:       "  damaskspread status --entry 10.20.0.1:7400\n  damaskspread zone out gaspe --team platform",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	root.SetIn(c.In)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{cause: err} })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.entries, "entry", []string{"127.0.0.1:7400"}, "address (ip:port) of an entry process; may be repeated")
	flags.StringVar(&c.team, "team", "", "team that requests the change")
	flags.StringVar(&c.actor, "actor", "", "name of the operator in the audit trail")
	flags.StringVarP(&c.output, "output", "o", "table", "output format: table or json")
	flags.DurationVar(&c.timeout, "timeout", 15*time.Second, "timeout of the whole command; the default is 2s for request")
	root.AddCommand(c.daemons()...)
	root.AddCommand(c.jobDaemons()...)
	root.AddCommand(c.configCommand(), c.zoneCommand(), c.taskCommand(), c.hostCommand(), c.endpointCommand(),
		c.serviceCommand(), c.auditCommand(), c.statusCommand(), c.requestCommand(), c.explainCommand(), c.loadCommand(), c.whereCommand(), c.versionCommand())
	root.InitDefaultCompletionCmd()
	addCompletionExamples(root)
	requireSubcommand(root)
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

// requireSubcommand makes a missing or unknown subcommand a usage error, which
// suggests a subcommand for a misspelled one.
func requireSubcommand(command *cobra.Command) {
	for _, child := range command.Commands() {
		requireSubcommand(child)
	}
	if !command.HasSubCommands() || command.Runnable() {
		return
	}
	command.Args = cobra.ArbitraryArgs
	command.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			_ = cmd.Help()
			return usageErrorf("%s needs a subcommand", cmd.CommandPath())
		}
		var names []string
		for _, child := range cmd.Commands() {
			names = append(names, child.Name())
		}
		if suggestion := validator.Nearest(args[0], names); suggestion != "" {
			return usageErrorf("%s has no command %q; did you mean %q?", cmd.CommandPath(), args[0], suggestion)
		}
		return usageErrorf("%s has no command %q", cmd.CommandPath(), args[0])
	}
}

// run returns a cobra run function that validates --output, calls fn and wraps its
// errors in runError.
func (c *Commander) run(fn func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if c.output != "table" && c.output != "json" {
			return usageErrorf("--output must be table or json, found %q", c.output)
		}
		if err := fn(cmd, args); err != nil {
			return &runError{
				cause: err,
			}
		}
		return nil
	}
}

// runWithClient returns a cobra run function that calls fn with a client for the
// entry processes of --entry and with the context of --timeout.
func (c *Commander) runWithClient(fn func(ctx context.Context, apiClient *client.Client, args []string) error) func(*cobra.Command, []string) error {
	return c.run(func(cmd *cobra.Command, args []string) error {
		for _, entry := range c.entries {
			if !validator.IsAddress(entry) {
				return usageErrorf("--entry must be ip:port, found %q", entry)
			}
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
		defer cancel()
		return fn(ctx, &client.Client{
			Entries: c.entries,
			Team:    c.team,
			Actor:   c.actor,
		}, args)
	})
}

func (c *Commander) requireTeam() error {
	if !validator.IsName(c.team) {
		return usageErrorf("--team is required for a change")
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

// VersionText returns the text that the version command prints.
func (c *Commander) VersionText() string {
	if c.Version != "" {
		return c.Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

// readFile returns the content of a file, or of standard input if the path is "-".
func (c *Commander) readFile(path string) (string, error) {
	if path == "-" {
		data, err := io.ReadAll(c.In)
		return string(data), err
	}
	data, err := os.ReadFile(path)
	return string(data), err
}

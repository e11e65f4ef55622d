// Package cmds implements the commands of the samphiredrum program.
//
// Each command is built by a function that returns a *cobra.Command; commands lists the commands. A command returns
// its error and does not print it. Execute prints the error as one line, which says what to do about it, and derives
// the exit code from the type of the error.
//
// # Usage
//
//	func main() {
//		os.Exit(cmds.Execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
//	}
//
// A new command is a function such as this one, added to the list in commands:
//
//	func statusCommand() *cobra.Command {
//		return &cobra.Command{
//			Use:   "status ADDRESS",
//			Short: "Print the state of an entry process",
//			Args:  atLeast(1, "ADDRESS"),
//			RunE:  func(c *cobra.Command, args []string) error { ... },
//		}
//	}
package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
)

// program is the name of the program in help texts and error messages.
const program = "samphiredrum"

// Exit codes of the program.
const (
	// ExitOK reports that the command succeeded.
	ExitOK = 0
	// ExitFailed reports that the command failed or that a setting is wrong.
	ExitFailed = 1
	// ExitUsage reports that the command line is wrong.
	ExitUsage = 2
)

var (
	namespace = errorx.NewNamespace("command")
	// ErrUsage is the error type for a wrong command line.
	ErrUsage = namespace.NewType("usage")
	// ErrBroken is the error type for a demo run in which the router broke a guarantee.
	ErrBroken = namespace.NewType("broken")
	// ErrSettings is the error type for settings that are wrong or cannot be read.
	ErrSettings = namespace.NewType("settings")
	// ErrFailed is the error type for a process that ends because of an error in the program.
	ErrFailed = namespace.NewType("failed")
)

// commands returns all commands of the program.
func commands() []*cobra.Command {
	return []*cobra.Command{
		checkCommand(), configCommand(), demoCommand(), drainCommand(), entryCommand(), explainCommand(), serveCommand(),
		statusCommand(), timelineCommand(), versionCommand(),
	}
}

// Execute runs the command in args, which do not include the name of the program, and returns the exit code. It writes
// results to out and an error as one line to stderr.
func Execute(ctx context.Context, args []string, out, stderr io.Writer) int {
	// Until a command handles SIGHUP, which tells it to read its settings, the signal must not end the process.
	signal.Ignore(syscall.SIGHUP)
	root := rootCommand()
	root.SetOut(out)
	root.SetErr(stderr)
	root.SetArgs(args)
	err := checkCommandName(root, args)
	if err == nil {
		err = root.ExecuteContext(ctx)
	}
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "%s: %s\n", program, message(err))
	if errorx.IsOfType(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailed
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   program,
		Short: "Route calls to backend servers that own keys exclusively",
		Long: `Samphiredrum routes calls to backend servers that own keys exclusively. Each entry VM runs
one entry process; all of them are alike.`,
		Example: `  samphiredrum check entry-1.ini team-yards.ini
  samphiredrum help check`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(flagError)
	root.AddCommand(commands()...)
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd()
	return root
}

// checkCommandName returns an error if args name an unknown command. It runs before the flags are parsed, because the
// parser would report a flag of the mistyped command as unknown instead.
func checkCommandName(root *cobra.Command, args []string) error {
	if _, _, err := root.Find(args); err == nil {
		return nil
	}
	name := firstArgument(args)
	if suggestions := root.SuggestionsFor(name); len(suggestions) > 0 {
		return ErrUsage.New("there is no command %q; did you mean %q?", name, suggestions[0])
	}
	return ErrUsage.New("there is no command %q; run \"%s --help\" for the list of commands", name, program)
}

// firstArgument returns the first argument that is not a flag, "" if there is none.
func firstArgument(args []string) string {
	for _, a := range args {
		if !strings.HasPrefix(a, "-") {
			return a
		}
	}
	return ""
}

// flagError converts an error of the flag parser to an ErrUsage that says where the flags are listed.
func flagError(c *cobra.Command, err error) error {
	return ErrUsage.New("%s; run \"%s --help\" for the flags", oneLine(err.Error()), c.CommandPath())
}

// atLeast requires n or more arguments. Error messages call them name.
func atLeast(n int, name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) >= n {
			return nil
		}
		return ErrUsage.New("%q needs %d or more arguments %s; run \"%s --help\" for examples", c.Name(), n, name, c.CommandPath())
	}
}

// atMostOne allows at most one argument. Error messages call it name.
func atMostOne(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) <= 1 {
			return nil
		}
		return ErrUsage.New("%q takes one %s at most; run \"%s --help\" for examples", c.Name(), name, c.CommandPath())
	}
}

// exactly requires one argument for each name.
func exactly(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return ErrUsage.New("%q needs the arguments %s; run \"%s --help\" for examples",
			c.Name(), strings.Join(names, " "), c.CommandPath())
	}
}

// noArguments rejects any argument.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return ErrUsage.New("%q takes no arguments, but got %q; leave them out", c.Name(), args[0])
}

// message returns the message of an error as one line. It omits the type name and the cause of an errorx error.
func message(err error) string {
	if e := errorx.Cast(err); e != nil {
		return oneLine(e.Message())
	}
	return oneLine(err.Error())
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

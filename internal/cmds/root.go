// Package cmds holds the commands of the samphiredrum program.
//
// Each command is one file with a function that returns a *cobra.Command; commands lists them. A
// command returns an error of one of the kinds below and prints nothing about it itself. Execute
// prints the error as one line that names the remedy, and turns its kind into the exit code.
//
// # Usage
//
//	func main() {
//		os.Exit(cmds.Execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
//	}
//
// A new command:
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
	"strings"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
)

// program is the name of the program in help and errors.
const program = "samphiredrum"

// Exit codes of the program.
const (
	// ExitOK is a command that did its work.
	ExitOK = 0
	// ExitFailed is a command that failed, or a setting that is wrong.
	ExitFailed = 1
	// ExitUsage is a command line that is wrong.
	ExitUsage = 2
)

var (
	namespace = errorx.NewNamespace("command")
	// Usage is the kind of error of a wrong command line.
	Usage = namespace.NewType("usage")
	// Broken is the kind of error of a promise that did not hold.
	Broken = namespace.NewType("broken")
	// Settings is the kind of error of wrong settings.
	Settings = namespace.NewType("settings")
)

// commands returns the commands of the program.
func commands() []*cobra.Command {
	return []*cobra.Command{
		checkCommand(), configCommand(), demoCommand(), drainCommand(), entryCommand(), serveCommand(),
		statusCommand(), timelineCommand(), versionCommand(),
	}
}

// Execute runs the command that args name, without the program's own name, and returns the exit
// code. Results go to out; an error goes to errors as one line.
func Execute(ctx context.Context, args []string, out, errors io.Writer) int {
	root := rootCommand()
	root.SetOut(out)
	root.SetErr(errors)
	root.SetArgs(args)
	err := checkName(root, args)
	if err == nil {
		err = root.ExecuteContext(ctx)
	}
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errors, "%s: %s\n", program, message(err))
	if errorx.IsOfType(err, Usage) {
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

// checkName reports a command that does not exist before its flags are read, which would report a
// flag of a mistyped command as unknown.
func checkName(root *cobra.Command, args []string) error {
	if _, _, err := root.Find(args); err == nil {
		return nil
	}
	name := firstName(args)
	if near := root.SuggestionsFor(name); len(near) > 0 {
		return Usage.New("there is no command %q; did you mean %q?", name, near[0])
	}
	return Usage.New("there is no command %q; run \"%s --help\" for the list of commands", name, program)
}

// firstName returns the first argument that is no flag.
func firstName(args []string) string {
	for _, a := range args {
		if !strings.HasPrefix(a, "-") {
			return a
		}
	}
	return ""
}

// flagError turns an error of the flag parser into a usage error with a remedy.
func flagError(c *cobra.Command, err error) error {
	return Usage.New("%s; run \"%s --help\" for the flags", oneLine(err.Error()), c.CommandPath())
}

// atLeast requires a number of arguments with the given name.
func atLeast(n int, name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) >= n {
			return nil
		}
		return Usage.New("%q needs %d or more arguments %s; run \"%s --help\" for examples", c.Name(), n, name, c.CommandPath())
	}
}

// atMostOne allows one argument or none.
func atMostOne(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) <= 1 {
			return nil
		}
		return Usage.New("%q takes one %s at most; run \"%s --help\" for examples", c.Name(), name, c.CommandPath())
	}
}

// exactly requires one argument for each name.
func exactly(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return Usage.New("%q needs the arguments %s; run \"%s --help\" for examples",
			c.Name(), strings.Join(names, " "), c.CommandPath())
	}
}

// noArguments requires that there are none.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return Usage.New("%q takes no arguments, but got %q; leave them out", c.Name(), args[0])
}

// message returns the text of an error without the name of its kind, as one line.
func message(err error) string {
	if e := errorx.Cast(err); e != nil {
		return oneLine(e.Message())
	}
	return oneLine(err.Error())
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

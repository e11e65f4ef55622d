package cmds

import (
	"fmt"
	"os"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// configCommand returns the parent of the commands that read and change the configuration of a team.
func configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Read and change the configuration of a team",
		Args:  noArguments,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(configGet(), configSet(), configDiff(), configHistory(), configValidate())
	return c
}

func configGet() *cobra.Command {
	flags := &adminFlags{}
	c := &cobra.Command{
		Use:     "get TEAM",
		Short:   "Print the stored configuration of a team; the version goes to standard error",
		Example: "  samphiredrum config get yards >team-yards.ini",
		Args:    exactly("TEAM"),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			text, version, err := client.Config(args[0])
			if err != nil {
				return err
			}
			c.PrintErrf("version=%d\n", version)
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	}
	flags.add(c)
	return c
}

func configSet() *cobra.Command {
	flags := &adminFlags{}
	version := uint64(0)
	c := &cobra.Command{
		Use:   "set TEAM FILE",
		Short: "Replace the configuration of a team where it still has the version that was read",
		Long: "Checks the file, stores it where the stored version is still --if-version, and waits until a\n" +
			"majority of the entry processes has it in force. Only then it prints accepted=true. A lost race\n" +
			"changes nothing; read the configuration again, merge and repeat.",
		Example: "  samphiredrum config set yards team-yards.ini --if-version 12",
		Args:    exactly("TEAM", "FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			text, err := readTeam(args[0], args[1])
			if err != nil {
				return err
			}
			next, err := client.SetConfig(args[0], text, version)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "accepted=true team=%s version=%d\n", args[0], next)
			return err
		},
	}
	flags.add(c)
	c.Flags().Uint64Var(&version, "if-version", 0, "version that config get printed, 0 for a new team")
	return c
}

func configDiff() *cobra.Command {
	flags := &adminFlags{}
	c := &cobra.Command{
		Use:     "diff TEAM FILE",
		Short:   "Print what a file would change in the stored configuration",
		Example: "  samphiredrum config diff yards team-yards.ini",
		Args:    exactly("TEAM", "FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			text, err := readTeam(args[0], args[1])
			if err != nil {
				return err
			}
			stored, _, err := client.Config(args[0])
			if err != nil {
				return err
			}
			change, err := diff(string(stored), string(text))
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write([]byte(change))
			return err
		},
	}
	flags.add(c)
	return c
}

func configHistory() *cobra.Command {
	flags := &adminFlags{}
	c := &cobra.Command{
		Use:   "history TEAM",
		Short: "Print which versions of a team's configuration were written and came into force, and where",
		Long: "Selects the control events of all processes that concern the team. Each process keeps its last\n" +
			"events only, so the history goes back as far as they do.",
		Example: "  samphiredrum config history yards",
		Args:    exactly("TEAM"),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			timeline, err := client.Timeline()
			if err != nil {
				return err
			}
			timeline.Events = event.Select(timeline.Events, event.ByKinds(event.Configuration), byTeam(args[0]))
			return printTimeline(c, flags.output, timeline)
		},
	}
	flags.add(c)
	return c
}

// byTeam selects events that concern a team. The detail of a configuration event ends with the name of its team.
func byTeam(team string) event.Filter {
	return func(e event.Event) bool {
		words := strings.Fields(e.Detail)
		return len(words) > 0 && words[len(words)-1] == team
	}
}

func configValidate() *cobra.Command {
	return &cobra.Command{
		Use:     "validate TEAM FILE",
		Short:   "Check a file as the configuration of a team, without any process",
		Example: "  samphiredrum config validate yards team-yards.ini",
		Args:    exactly("TEAM", "FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := readTeam(args[0], args[1])
			return err
		},
	}
}

// readTeam reads a team file and returns its content, or an error for the first fault in it.
func readTeam(team, path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "cannot read the team file; name a file that can be read")
	}
	if _, faults := conf.ParseTeam(team, path, string(text)); len(faults) > 0 {
		return nil, ErrSettings.New("%s", faults[0])
	}
	return text, nil
}

// diff returns the differences between two texts in the unified format.
func diff(before, after string) (string, error) {
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(before),
		B:        difflib.SplitLines(after),
		FromFile: "stored",
		ToFile:   "file",
		Context:  diffContext,
	})
}

// diffContext is the number of unchanged lines that a diff shows around each change.
const diffContext = 3

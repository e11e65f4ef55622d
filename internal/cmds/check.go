package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

func checkCommand() *cobra.Command {
	var team string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files",
		Long: `Check reads process, team and deployment files and prints each fault as one line: the file, the
line, what is wrong and the remedy. The kind of a file is found by its sections. Files in one
directory are taken for one user and also compared with each other.

The team of a team file is taken from --team, or from a file name of the form team-T.ini, or else
from the first section of a team in the file.

The exit code is 0 where all files are correct, 1 where a setting is wrong or a file cannot be read,
and 2 where the command line is wrong.`,
		Example: `  samphiredrum check entry-1.ini
  samphiredrum check examples/khangai/*.ini
  samphiredrum check --team yards new-settings.ini`,
		Args: atLeast(1, "FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			return check(c.OutOrStdout(), team, args)
		},
	}
	c.Flags().StringVar(&team, "team", "", "name of the team whose files these are")
	return c
}

// check prints each fault in the files as one line, or the number of files if there are none. It returns an error of
// type ErrSettings if there are faults.
func check(out io.Writer, team string, paths []string) error {
	var texts []conf.Text
	var faults []conf.Fault
	for _, path := range paths {
		content, err := readSettings(path)
		if err != nil {
			faults = append(faults, conf.Fault{
				File:    path,
				Problem: "the file cannot be read: " + err.Error(),
				Remedy:  "name a file that this user may read",
			})
			continue
		}
		texts = append(texts, conf.Text{Name: path, Team: team, Content: content})
	}
	faults = append(faults, conf.Check(texts)...)
	if len(faults) == 0 {
		_, err := fmt.Fprintf(out, "files-correct=%d\n", len(paths))
		return err
	}
	for _, f := range faults {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	return ErrSettings.New("faults=%d files-checked=%d; apply the remedies above and check again", len(faults), len(paths))
}

// readSettings reads a settings file. It stops one byte after conf.MaxBytes, which is enough for the check to report
// that the file is too long.
func readSettings(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, conf.MaxBytes+1))
	return string(content), err
}

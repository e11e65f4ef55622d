package cmds

import (
	"bytes"
	"os"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/trace"
)

// explainCommand returns the command that prints what happened to one request.
func explainCommand() *cobra.Command {
	id := ""
	c := &cobra.Command{
		Use:   "explain --id ID FILE...",
		Short: "Print the way of one request, from the logs of all processes",
		Long: "Reads the logs of the processes and prints where the request came in, each sending with its server,\n" +
			"connection and the proof of its outcome, what the caller was told and why, and what happened around it.\n" +
			"A request that was answered at the first sending with a status below 500 is not in the logs.",
		Example: "  samphiredrum explain --id 9c41d07be2a35f68 entry-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			if id == "" {
				return ErrUsage.New("name the request with --id")
			}
			var t trace.Trace
			for _, name := range files {
				if err := readLog(&t, name); err != nil {
					return ErrUsage.Wrap(err, "name logs that can be read")
				}
			}
			story, found := t.Explain(id)
			if !found {
				return ErrFailed.New("no log names request %s; it was answered at the first sending, or its line was above the rate limit (samphiredrum_log_lines_dropped_total)", id)
			}
			return story.WriteText(c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&id, "id", "", "the Request-Id of the request")
	return c
}

func readLog(t *trace.Trace, name string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	return t.Read(name, bytes.NewReader(text))
}

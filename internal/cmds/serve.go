package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum"
	"github.com/samphiredrum/samphiredrum/internal/logs"
)

// serveCommand returns the command that runs one entry process with the settings of a process file.
func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Run one entry process with the settings of a process file",
		Long: "Runs one entry process until SIGTERM or SIGINT, which begin a planned stop: the process reports\n" +
			"unready to the balancer, finishes the calls in flight and ends. Logs go to standard error, one\n" +
			"line of key=value pairs for each event.",
		Example: "  samphiredrum serve entry-1.ini",
		Args:    atLeast(1, "FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return ErrSettings.Wrap(err, "cannot read the process file; name a file that can be read")
			}
			process, err := samphiredrum.New(
				samphiredrum.WithSettings(args[0], string(text)),
				samphiredrum.WithLog(logs.New(c.ErrOrStderr())),
			)
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return process.Run(ctx)
		},
	}
}

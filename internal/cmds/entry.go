package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/front"
	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/platform"
)

// entryCommand runs one entry process on the users' platform.
func entryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "entry [FILE]",
		Short: "Run one entry process on the users' platform",
		Long: "Runs one entry process with the settings file of the users' platform until SIGTERM or SIGINT,\n" +
			"which begin a planned stop. Without FILE the path is taken from " + platform.SettingsVariable + ".\n" +
			"Logs go to standard output, one line of key=value pairs for each event.",
		Example: "  samphiredrum entry /etc/samphiredrum/settings.yaml",
		Args:    atMostOne("FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if len(args) > 0 {
				path = args[0]
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return Settings.Wrap(err, "name a settings file that can be read, or set %s", platform.SettingsVariable)
			}
			settings, err := platform.ParseSettings(text)
			if err != nil {
				return err
			}
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			log, flush := logs.NewBounded(c.OutOrStdout())
			defer flush()
			process, err := front.Start(settings, log)
			if err != nil {
				return err
			}
			for s := range signals {
				if s != syscall.SIGHUP {
					break
				}
				// The settings in force are those of the start; what changes while a process runs
				// is in the store.
				log.Info().Msg("reload-ignored")
			}
			process.Stop()
			return nil
		},
	}
}

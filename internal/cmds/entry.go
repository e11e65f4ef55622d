package cmds

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/front"
	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/platform"
)

// settingsEvery is the time between looks at the settings file, which may change without a signal.
const settingsEvery = 2 * time.Second

// entryCommand runs one entry process on the users' platform.
func entryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "entry [FILE]",
		Short: "Run one entry process on the users' platform",
		Long: "Runs one entry process with the settings file of the users' platform until SIGTERM or SIGINT,\n" +
			"which begin a planned stop. Without FILE the path is taken from " + platform.SettingsVariable + ".\n" +
			"A changed file is read again, at once after SIGHUP; bounds hold from then on, the rest from the\n" +
			"next start. Logs go to standard output, one line of key=value pairs for each event.",
		Example: "  samphiredrum entry /etc/samphiredrum/settings.yaml",
		Args:    atMostOne("FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			f := settingsFile{path: os.Getenv(platform.SettingsVariable)}
			if len(args) > 0 {
				f.path = args[0]
			}
			settings, err := f.read()
			if err != nil {
				return err
			}
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			drops := &logs.Drops{}
			log, flush := logs.NewBounded(c.OutOrStdout(), drops)
			defer flush()
			process, err := front.Start(settings, log, drops)
			if err != nil {
				return err
			}
			f.follow(signals, process, log)
			process.Stop()
			return nil
		},
	}
}

// settingsFile is the settings file of the platform.
type settingsFile struct {
	path string
	// written and size tell whether the file has changed since it was read.
	written time.Time
	size    int64
}

func (f *settingsFile) read() (platform.Settings, error) {
	if i, err := os.Stat(f.path); err == nil {
		f.written, f.size = i.ModTime(), i.Size()
	}
	text, err := os.ReadFile(f.path)
	if err != nil {
		return platform.Settings{}, Settings.Wrap(err, "name a settings file that can be read, or set %s", platform.SettingsVariable)
	}
	return platform.ParseSettings(text)
}

// changed reports whether the file is another one than that which was read. A file that is missing for a
// moment has not changed.
func (f *settingsFile) changed() bool {
	i, err := os.Stat(f.path)
	return err == nil && (!i.ModTime().Equal(f.written) || i.Size() != f.size)
}

// follow hands changed settings to the process until a signal asks it to stop. A file with a fault leaves
// the settings as they are.
func (f *settingsFile) follow(signals <-chan os.Signal, p *front.Process, log zerolog.Logger) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			if !f.changed() {
				continue
			}
		}
		settings, err := f.read()
		if err != nil {
			log.Error().Err(err).Msg("settings-unreadable")
			continue
		}
		p.Reload(settings)
	}
}

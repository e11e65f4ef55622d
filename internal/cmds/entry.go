package cmds

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/front"
	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/platform"
)

const (
	// settingsPollInterval is the time between checks of the settings file, which may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// runtimeShare is the share of the process's memory above which the garbage collector runs more often. The rest holds
	// the program and the buffers of sockets, which the Go runtime does not count.
	runtimeShare = 0.75
)

// entryCommand returns the command that runs one entry process on the users' platform.
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
			if settings.MemoryBytes > 0 {
				debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * runtimeShare))
			}
			drops := &logs.Drops{}
			log, flush := logs.NewBounded(c.OutOrStdout(), drops)
			defer flush()
			process, err := front.Start(settings, log, drops)
			if err != nil {
				return err
			}
			err = f.watch(signals, process, log)
			process.Stop()
			return err
		},
	}
}

// settingsFile is the settings file of an entry process on the users' platform.
type settingsFile struct {
	path string
	// modTime and size are the modification time and the size of the file when it was last read.
	modTime time.Time
	size    int64
}

func (f *settingsFile) read() (platform.Settings, error) {
	if info, err := os.Stat(f.path); err == nil {
		f.modTime, f.size = info.ModTime(), info.Size()
	}
	text, err := os.ReadFile(f.path)
	if err != nil {
		return platform.Settings{}, ErrSettings.Wrap(err, "cannot read the settings file; name a file that can be read, or set %s", platform.SettingsVariable)
	}
	return platform.ParseSettings(text)
}

// changed reports whether the modification time or the size of the file differs from the last read. A missing file
// counts as unchanged, since it can be missing for a moment while it is replaced.
func (f *settingsFile) changed() bool {
	info, err := os.Stat(f.path)
	return err == nil && (!info.ModTime().Equal(f.modTime) || info.Size() != f.size)
}

// watch reloads the process on SIGHUP and when the settings file changes, and returns on any other signal, or with an error if
// the process has failed. If the file cannot be read or is invalid, the settings in force stay.
func (f *settingsFile) watch(signals <-chan os.Signal, p *front.Process, log zerolog.Logger) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return nil
			}
		case <-p.Failed():
			return ErrFailed.New("the process does not follow the platform any more; start it again and report its log line control-failed")
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

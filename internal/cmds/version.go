package cmds

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of the program",
		Example: `  samphiredrum version`,
		Args:    noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), versionLine())
			return err
		},
	}
}

// versionLine returns the module version, the VCS revision and the Go version as key=value pairs. A version or a
// revision that the build did not record is "unknown".
func versionLine() string {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	return fmt.Sprintf("version=%s revision=%s go=%s", version, revision, runtime.Version())
}

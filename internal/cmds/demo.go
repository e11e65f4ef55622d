package cmds

import (
	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/demo"
	"github.com/samphiredrum/samphiredrum/internal/logs"
)

// demoCommand returns the command that runs the deployment of a user on loopback, injects failures and checks the
// guarantees of the router.
func demoCommand() *cobra.Command {
	options := demo.Options{}
	verbose := false
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole user on loopback, with failures, and check the promises",
		Long: "Starts the entry processes of a user with a stand-in platform and stand-in backend servers in\n" +
			"one process on loopback, sends calls through them while parts of it fail, and checks the\n" +
			"promises on what was recorded. Takes under 15 s. The exit code is 0 only where every promise held.",
		Example: "  samphiredrum demo\n  samphiredrum demo --user bakugaisma --seed 7",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			options.Out = c.OutOrStdout()
			if verbose {
				options.Log = logs.New(c.ErrOrStderr())
			}
			summary, err := demo.Run(c.Context(), options)
			if err != nil {
				return err
			}
			if len(summary.Faults) > 0 {
				return ErrBroken.New("%d promises were broken; the lines above name the runs", len(summary.Faults))
			}
			return nil
		},
	}
	c.Flags().StringVar(&options.User, "user", "khangai", "deployment to run: khangai or bakugaisma")
	c.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the calls")
	c.Flags().IntVar(&options.Callers, "callers", 24, "number of concurrent callers")
	c.Flags().BoolVar(&verbose, "verbose", false, "write the events of the entry processes to standard error")
	return c
}

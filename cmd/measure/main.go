// Command measure benchmarks the router and its baselines on loopback and prints the results as key=value lines.
//
// # Usage
//
//	measure --user khangai --seed 1
//	measure --user bakugaisma --experiment crest --duration 5s
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	o := bench.Options{}
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure the router against its baselines on loopback",
		Long: "Runs a whole user with stand-in servers in one process on loopback, sends open-loop calls\n" +
			"through it, and prints one key=value line for each figure. The exit code tells only whether\n" +
			"the experiments ran; whether a target was met is in the lines.",
		Example:       "  measure --user khangai --seed 1\n  measure --experiment crest --duration 5s",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			o.Out = c.OutOrStdout()
			return bench.Run(c.Context(), o)
		},
	}
	f := c.Flags()
	f.StringVar(&o.User, "user", "khangai", "deployment to run: khangai or bakugaisma")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, keys and failing parts")
	f.StringVar(&o.Experiment, "experiment", bench.All, "experiment to run: "+strings.Join(bench.Names(), ", ")+" or "+bench.All)
	f.DurationVar(&o.Duration, "duration", 0, "length of one measurement under load (default 3s)")
	f.IntVar(&o.Repeats, "repeats", 0, "repetitions of each failure or change (default 3)")
	f.IntVar(&o.Servers, "servers", 0, "servers of each service under load (default 2)")
	f.IntVar(&o.Processes, "processes", 0, "entry processes (default 11)")
	return c
}

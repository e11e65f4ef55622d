// Command standin runs the stand-in platform or a stand-in backend server as a process.
//
// # Usage
//
//	standin platform --address 127.0.0.1:7000
//	standin backend --name ledger-1 --service depot/ledger --address 127.0.0.1:7101 --fencing grants
//
// SIGTERM and SIGINT stop it gracefully: a backend server drains and finishes its work first.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Run a stand-in for the platform or for a backend server",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(platformCommand(), backendCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/admin"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/internal/node"
)

// stopTime bounds a planned stop. The longest operation may take 10 minutes.
const stopTime = 11 * time.Minute

// serveCommand runs one entry process.
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
				return Settings.Wrap(err, "name a process file that can be read")
			}
			settings, faults := conf.ParseProcess(args[0], string(text))
			if len(faults) > 0 {
				return Settings.New("%s", faults[0])
			}
			return serve(c.Context(), settings, logs.New(c.ErrOrStderr()))
		},
	}
}

// serve runs the process until the context ends or a signal arrives.
func serve(ctx context.Context, settings conf.Process, log zerolog.Logger) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	n := node.New(settings, node.WithLog(log))
	if err := n.Start(); err != nil {
		return err
	}
	operators, err := admin.Listen(settings.AdminAddress, n, cancel)
	if err != nil {
		n.Kill()
		return err
	}
	defer operators.Stop()
	<-ctx.Done()
	stopping, end := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer end()
	n.Stop(stopping)
	return nil
}

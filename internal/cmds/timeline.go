package cmds

import (
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/admin"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// timelineFlags holds the flags that select and plot events.
type timelineFlags struct {
	adminFlags
	key     string
	hash    string
	server  string
	process string
	kinds   []string
	plot    string
}

// timelineCommand returns the command that prints the merged control events of all processes.
func timelineCommand() *cobra.Command {
	flags := &timelineFlags{}
	c := &cobra.Command{
		Use:   "timeline",
		Short: "Print the control events of all processes in causal order",
		Long: "Fetches the control events of all processes through one of them and merges them by their logical\n" +
			"clock: an event that caused another comes first. Times are each process's own.",
		Example: "  samphiredrum timeline --key yard-7\n  samphiredrum timeline --server ledger-3 --plot out.svg",
		Args:    noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			filters, err := flags.filters()
			if err != nil {
				return err
			}
			timeline, err := client.Timeline()
			if err != nil {
				return err
			}
			timeline.Events = event.Select(timeline.Events, filters...)
			return flags.print(c, timeline)
		},
	}
	flags.add(c)
	c.Flags().StringVar(&flags.key, "key", "", "only events whose span covers the key")
	c.Flags().StringVar(&flags.hash, "hash", "", "only events whose span covers the key hash, in hexadecimal")
	c.Flags().StringVar(&flags.server, "server", "", "only events of the server")
	c.Flags().StringVar(&flags.process, "process", "", "only events of the process")
	c.Flags().StringSliceVar(&flags.kinds, "kind", nil, "only events of these kinds")
	c.Flags().StringVar(&flags.plot, "plot", "", "write a plot to this SVG file")
	return c
}

func (f *timelineFlags) filters() ([]event.Filter, error) {
	var filters []event.Filter
	if f.key != "" {
		filters = append(filters, event.ByKey(assign.Hash(f.key)))
	}
	if f.hash != "" {
		hash, err := strconv.ParseUint(f.hash, 16, 64)
		if err != nil {
			return nil, ErrUsage.New("%q is no key hash; give --hash as up to 16 hexadecimal digits", f.hash)
		}
		filters = append(filters, event.ByKey(hash))
	}
	if f.server != "" {
		filters = append(filters, event.ByServer(assign.ServerID(f.server)))
	}
	if f.process != "" {
		filters = append(filters, event.ByProcess(assign.ProcessID(f.process)))
	}
	var kinds []event.Kind
	for _, name := range f.kinds {
		kind, err := event.KindString(name)
		if err != nil {
			return nil, ErrUsage.New("%q is no kind of event; use one of %v", name, event.KindStrings())
		}
		kinds = append(kinds, kind)
	}
	if len(kinds) > 0 {
		filters = append(filters, event.ByKinds(kinds...))
	}
	return filters, nil
}

func (f *timelineFlags) print(c *cobra.Command, timeline admin.Timeline) error {
	if f.plot != "" {
		if err := writePlot(f.plot, timeline.Events); err != nil {
			return err
		}
	}
	return printTimeline(c, f.output, timeline)
}

// printTimeline prints the events to standard output, and the processes that did not answer to standard error.
func printTimeline(c *cobra.Command, output string, timeline admin.Timeline) error {
	for _, p := range timeline.Silent {
		c.PrintErrf("%s: process=%s did not answer; its events are missing\n", program, p)
	}
	if output == outputJSON {
		return printJSON(c.OutOrStdout(), timeline)
	}
	return event.WriteText(c.OutOrStdout(), timeline.Events)
}

func writePlot(path string, events []event.Event) error {
	file, err := os.Create(path)
	if err != nil {
		return ErrUsage.Wrap(err, "name a file that can be written")
	}
	if err := event.Plot(events, file, event.WithTitle("control events")); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/admin"
	"github.com/samphiredrum/samphiredrum/internal/node"
)

// Values of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

// adminFlags holds the flags of commands that call the admin address of a process.
type adminFlags struct {
	address string
	output  string
}

func (f *adminFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.address, "admin", "127.0.0.1:9101", "admin-address of an entry process")
	c.Flags().StringVar(&f.output, "output", outputText, "output format: text or json")
}

// client validates the flags and returns a client of the process with the given admin address.
func (f *adminFlags) client() (*admin.Client, error) {
	address, err := netip.ParseAddrPort(f.address)
	if err != nil {
		return nil, ErrUsage.New("%q is no address; give --admin as IP:PORT, for example 127.0.0.1:9101", f.address)
	}
	if f.output != outputText && f.output != outputJSON {
		return nil, ErrUsage.New("%q is no output format; give --output as text or json", f.output)
	}
	return admin.NewClient(address), nil
}

// statusCommand returns the command that prints the control state of a process.
func statusCommand() *cobra.Command {
	flags := &adminFlags{}
	c := &cobra.Command{
		Use:   "status",
		Short: "Print who decides, who owns, what is in force and what is in flight at a process",
		Example: "  samphiredrum status --admin 127.0.0.1:9101\n" +
			"  samphiredrum status --output json | jq .owners",
		Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			status, err := client.Status()
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printJSON(c.OutOrStdout(), status)
			}
			return printStatus(c.OutOrStdout(), status)
		},
	}
	flags.add(c)
	return c
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printStatus(out io.Writer, s node.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%s\ndecider\t%s\nterm\t%d\nserving\t%t\ndraining\t%t\ntable-version\t%d\nidentifiers\t%d\n",
		s.Process, s.Decider, s.Term, s.Serving, s.Draining, s.Version, s.Identifiers)
	for team, version := range s.Teams {
		fmt.Fprintf(w, "config %s\tversion %d\n", team, version)
	}
	fmt.Fprintf(w, "\nSERVER\tSTATE\tSPANS\tIN-FLIGHT\tALLOWED\tQUEUED\n")
	spans := make(map[string]int)
	closed := 0
	for _, o := range s.Owners {
		spans[string(o.Server)]++
		if !o.Open {
			closed++
		}
	}
	for _, server := range s.Servers {
		state := "live"
		if server.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n",
			server.Server, state, spans[string(server.Server)], server.InFlight, server.Allowed, server.Queued)
	}
	fmt.Fprintf(w, "\nspans\t%d\nclosed\t%d\n", len(s.Owners), closed)
	return w.Flush()
}

// drainCommand returns the command that drains a backend server or the entry process itself.
func drainCommand() *cobra.Command {
	flags := &adminFlags{}
	cancel := false
	c := &cobra.Command{
		Use:   "drain [SERVER]",
		Short: "Drain a backend server, or the entry process itself where no server is named",
		Long: "A drained server gets no new work and its keys move to others. A drained entry process reports\n" +
			"unready, finishes its calls in flight and ends. The command returns once the drain has begun;\n" +
			"status shows its progress.",
		Example: "  samphiredrum drain ledger-3\n  samphiredrum drain ledger-3 --cancel\n  samphiredrum drain --admin 127.0.0.1:9104",
		Args:    atMostOne("SERVER"),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				if cancel {
					return ErrUsage.New("the planned stop of a process cannot be cancelled; name a server with --cancel")
				}
				return client.Drain()
			}
			return client.DrainServer(args[0], cancel)
		},
	}
	flags.add(c)
	c.Flags().BoolVar(&cancel, "cancel", false, "use a drained server again")
	return c
}

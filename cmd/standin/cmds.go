package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

func platformCommand() *cobra.Command {
	var o stand.PlatformOptions
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run the stand-in platform: object API and list of VMs",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o.Log = logs.New(c.OutOrStdout())
			return serve(c, stand.NewPlatform(o))
		},
	}
	f := c.Flags()
	f.Var(&addressFlag{&o.Address}, "address", "address to listen on (default: a free port of 127.0.0.1)")
	f.IntVar(&o.WritesPerSecond, "writes", 500, "writes a second before calls get 429")
	f.IntVar(&o.ReadsPerSecond, "reads", 2000, "reads a second before calls get 429")
	f.IntVar(&o.KeepChanges, "keep-changes", 1024, "changes that a watch can go back")
	f.DurationVar(&o.VMLag, "vm-lag", 0, "lag of the list of VMs")
	return c
}

func backendCommand() *cobra.Command {
	var o stand.BackendOptions
	var service, fencing string
	var runMs int64
	c := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in backend server",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			kind, err := assign.FencingString(fencing)
			if err != nil {
				return fmt.Errorf("--fencing is grants, deadlines or none: %w", err)
			}
			o.Fencing = kind
			o.Service = assign.ServiceID(service)
			o.Run = time.Duration(runMs) * time.Millisecond
			o.Log = logs.New(c.OutOrStdout())
			return serve(c, stand.NewBackend(o))
		},
	}
	f := c.Flags()
	f.StringVar(&o.Name, "name", "server", "name of the server")
	f.StringVar(&service, "service", "", "service as team/service")
	f.Var(&addressFlag{&o.Address}, "address", "address to listen on (default: a free port of 127.0.0.1)")
	f.StringVar(&fencing, "fencing", "grants", "what the server checks: grants, deadlines or none")
	f.IntVar(&o.Slots, "slots", 6, "calls that run at the same time")
	f.IntVar(&o.Queue, "queue", 64, "calls that may wait")
	f.IntVar(&o.Connections, "connections", 130, "connections that are accepted")
	f.DurationVar(&o.Connect, "connect", time.Millisecond, "time that a new connection costs")
	f.Int64Var(&runMs, "run-ms", 2, "work of a call without a Run-Ms header, in milliseconds")
	f.DurationVar(&o.Cold, "cold", 0, "time after the start during which calls work longer")
	f.IntVar(&o.ColdFactor, "cold-factor", 3, "how many times longer they work")
	f.BoolVar(&o.IgnoreCancel, "ignore-cancel", false, "run on calls that were cancelled")
	f.DurationVar(&o.ClockOffset, "clock-offset", 0, "difference of the server's clock from the machine's")
	f.StringVar(&o.History, "history", "", "file to which runs are appended")
	return c
}

type standIn interface {
	Start() error
	Stop()
}

// serve starts s, waits until the context of the command is canceled and stops s.
func serve(c *cobra.Command, s standIn) error {
	if err := s.Start(); err != nil {
		return err
	}
	<-c.Context().Done()
	s.Stop()
	return nil
}

// addressFlag is the value of a flag that takes an IP address with a port.
type addressFlag struct {
	value *netip.AddrPort
}

// Set implements pflag.Value.
func (a *addressFlag) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("want IP:PORT: %w", err)
	}
	*a.value = address
	return nil
}

// String implements pflag.Value.
func (a *addressFlag) String() string {
	if a.value == nil || !a.value.IsValid() {
		return ""
	}
	return a.value.String()
}

// Type implements pflag.Value.
func (a *addressFlag) Type() string {
	return "ip:port"
}

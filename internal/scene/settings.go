package scene

import (
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/samphiredrum/samphiredrum/examples"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// failureDomains is the number of failure domains.
const failureDomains = 3

// settings holds the settings files of a deployment and their parsed contents.
type settings struct {
	platform   netip.AddrPort
	deployment conf.Deployment
	processes  []conf.Process
	files      map[assign.ProcessID]string
	teams      []conf.Team
	texts      map[string]string
}

// settingsWriter writes the settings for one Start statement.
type settingsWriter struct {
	start  Start
	folder string
	// relays forwards the connections between processes; it is nil if the scenario cuts no links.
	relays    *relays
	usedPorts map[uint16]bool
	err       error
	result    *settings
}

// writeSettings writes the process files into the folder and generates the settings texts of the teams.
func writeSettings(start Start, folder string, rs *relays) (*settings, error) {
	w := &settingsWriter{start: start, folder: folder, relays: rs, usedPorts: make(map[uint16]bool)}
	w.result = &settings{files: make(map[assign.ProcessID]string), texts: make(map[string]string)}
	w.result.platform = w.address()
	w.deployment()
	for _, team := range w.result.deployment.Teams {
		w.team(team)
	}
	w.processes()
	w.checkServices()
	return w.result, w.err
}

func (w *settingsWriter) fail(format string, args ...any) {
	if w.err == nil {
		w.err = ErrRun.New(format, args...)
	}
}

// address returns a free loopback address that it has not returned before.
func (w *settingsWriter) address() netip.AddrPort {
	for {
		listener, err := fleet.ListenFree()
		if err != nil {
			w.fail("no port of the loopback address is free: %s", err)
			return netip.AddrPort{}
		}
		listener.Close()
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		if !w.usedPorts[address.Port()] {
			w.usedPorts[address.Port()] = true
			return address
		}
	}
}

func (w *settingsWriter) read(name string) string {
	text, err := fs.ReadFile(examples.Files, w.start.User+"/"+name)
	if err != nil {
		w.fail("there is no deployment %q with a file %s; use khangai or bakugaisma", w.start.User, name)
	}
	return string(text)
}

func (w *settingsWriter) deployment() {
	text := w.read("deployment.ini")
	deployment, faults := conf.ParseDeployment("deployment.ini", text)
	if len(faults) > 0 {
		w.fail("%s", faults[0])
	}
	w.result.deployment = deployment
}

// team adds the services of a team that the statement names, with the servers of the scenario in place of those of
// the example.
func (w *settingsWriter) team(name string) {
	text := w.read("team-" + name + ".ini")
	full, faults := conf.ParseTeam(name, name, text)
	if len(faults) > 0 {
		w.fail("%s", faults[0])
		return
	}
	kept := 0
	for _, service := range full.Services {
		section := "team." + strings.Replace(string(service.ID), "/", ".service.", 1)
		short := shortName(service.ID)
		n, ok := w.start.Servers[short]
		if !ok {
			text = dropSection(text, section)
			continue
		}
		kept++
		text = setKey(text, section, "servers", w.servers(short, n))
		if service.Exclusive && w.start.Fencing != "" {
			text = setKey(text, section, "fencing", w.start.Fencing)
		}
	}
	if kept == 0 {
		return
	}
	team, faults := conf.ParseTeam(name, name, text)
	if len(faults) > 0 {
		w.fail("%s", faults[0])
	}
	w.result.teams = append(w.result.teams, team)
	w.result.texts[name] = text
}

func shortName(id assign.ServiceID) string {
	_, short, _ := strings.Cut(string(id), "/")
	return short
}

func (w *settingsWriter) servers(service string, n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d@%s/%s", service, i+1, w.address(), domain(i))
	}
	return strings.Join(list, ", ")
}

func domain(i int) string {
	return fmt.Sprintf("fd-%d", i%failureDomains+1)
}

// processes writes one file for each entry process.
func (w *settingsWriter) processes() {
	names := make([]assign.ProcessID, w.start.Entries)
	addresses := make([]netip.AddrPort, w.start.Entries)
	for i := range names {
		names[i] = assign.ProcessID(fmt.Sprintf("entry-%d", i+1))
		addresses[i] = w.address()
	}
	for i, name := range names {
		var b strings.Builder
		fmt.Fprintf(&b, "[process]\nname = %s\nuser = %s\nfailure-domain = %s\n", name, w.start.User, domain(i))
		fmt.Fprintf(&b, "caller-address = %s\npeer-address = %s\n", w.address(), addresses[i])
		fmt.Fprintf(&b, "admin-address = %s\nplatform-address = %s\n\n[peers]\n", w.address(), w.result.platform)
		for j, other := range names {
			fmt.Fprintf(&b, "%s = %s %s\n", other, w.peer(name, other, addresses[j]), domain(j))
		}
		w.process(name, b.String())
	}
}

// peer returns the address at which one process reaches another.
func (w *settingsWriter) peer(from, to assign.ProcessID, address netip.AddrPort) netip.AddrPort {
	if w.relays == nil || from == to {
		return address
	}
	relay, err := w.relays.open(from, to, address)
	if err != nil {
		w.fail("free some ports of the loopback address: %s", err)
	}
	return relay
}

func (w *settingsWriter) process(name assign.ProcessID, text string) {
	file := filepath.Join(w.folder, string(name)+".ini")
	process, faults := conf.ParseProcess(file, text)
	if len(faults) > 0 {
		w.fail("%s", faults[0])
	}
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		w.fail("name a folder that can be written: %s", err)
	}
	w.result.processes = append(w.result.processes, process)
	w.result.files[name] = file
}

// checkServices fails if the statement names a service that no team has, or starts too many processes.
func (w *settingsWriter) checkServices() {
	known := make(map[string]bool)
	count := 1 + w.start.Entries
	for _, team := range w.result.teams {
		for _, service := range team.Services {
			known[shortName(service.ID)] = true
			count += len(service.Servers)
		}
	}
	for name := range w.start.Servers {
		if !known[name] {
			w.fail("%s has no service %q; look at examples/%s", w.start.User, name, w.start.User)
		}
	}
	if count > maxProcesses {
		w.fail("the deployment has %d processes, more than %d; start fewer servers", count, maxProcesses)
	}
}

// exclusive returns the first service whose keys have exclusive owners, or nil if there is none.
func (s *settings) exclusive() *conf.Service {
	for i := range s.teams {
		for j := range s.teams[i].Services {
			if s.teams[i].Services[j].Exclusive {
				return &s.teams[i].Services[j]
			}
		}
	}
	return nil
}

// services returns the services of all teams.
func (s *settings) services() []*conf.Service {
	var list []*conf.Service
	for i := range s.teams {
		for j := range s.teams[i].Services {
			list = append(list, &s.teams[i].Services[j])
		}
	}
	return list
}

// names returns the names of the entry processes, in the order of the settings.
func (s *settings) names() []assign.ProcessID {
	names := make([]assign.ProcessID, len(s.processes))
	for i, p := range s.processes {
		names[i] = p.Name
	}
	return slices.Clip(names)
}

package conf

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Text is one settings text to check.
type Text struct {
	// Name is the file name. Texts with the same directory are taken for one user.
	Name string
	// Team is the team of a team file. Where it is empty, it is taken from a base name of the form
	// "team-T.ini", or else from the first section of a team in the text.
	Team string
	// Content is the INI text.
	Content string
}

// Check returns the faults of each text, then those between texts of one user: two files for one
// process or team, process files with different users, peers or timing, addresses that two
// processes listen on, and server names or addresses in two teams. Only texts without faults of
// their own are compared with others.
func Check(texts []Text) []Fault {
	var faults []Fault
	users := make(map[string]*userCheck)
	for _, t := range texts {
		directory := filepath.Dir(t.Name)
		if users[directory] == nil {
			users[directory] = newUserCheck()
		}
		faults = append(faults, checkText(t, users[directory])...)
	}
	return faults
}

func checkText(t Text, u *userCheck) []Fault {
	file, ok := KindOf(t.Content)
	if !ok {
		return checkUnknown(t)
	}
	switch file {
	case ProcessFile:
		p, faults := ParseProcess(t.Name, t.Content)
		return u.process(t.Name, p, faults)
	case TeamFile:
		team, faults := ParseTeam(teamOf(t), t.Name, t.Content)
		return u.team(t.Name, team, faults)
	default:
		_, faults := ParseDeployment(t.Name, t.Content)
		return faults
	}
}

// checkUnknown returns the faults of a text without any known section.
func checkUnknown(t Text) []Fault {
	r := &report{file: t.Name}
	if _, ok := readDocument(r, t.Content); ok {
		r.add(0, "the text has no known section",
			"start a process file with [process], a team file with [team.T], a deployment file with [deployment]")
	}
	return r.sorted()
}

// KindOf returns the kind of a settings text by its first known section. It reports false where it
// has none.
func KindOf(text string) (FileKind, bool) {
	for _, name := range sectionNames(text) {
		if strings.HasPrefix(name, "team.") {
			return TeamFile, true
		}
		for _, s := range settings {
			if s.section == name {
				return s.file, true
			}
		}
	}
	return 0, false
}

func teamOf(t Text) string {
	if t.Team != "" {
		return t.Team
	}
	base := filepath.Base(t.Name)
	if name, ok := strings.CutPrefix(base, "team-"); ok && strings.HasSuffix(name, ".ini") {
		return strings.TrimSuffix(name, ".ini")
	}
	for _, name := range sectionNames(t.Content) {
		if words := strings.Split(name, "."); words[0] == "team" && len(words) > 1 {
			return words[1]
		}
	}
	return ""
}

// sectionNames returns the sections of a text in order, as far as it can be read.
func sectionNames(text string) []string {
	if len(text) > MaxBytes {
		return nil
	}
	var names []string
	for _, s := range scan(&report{}, strings.TrimPrefix(text, byteOrderMark))[1:] {
		names = append(names, s.name)
	}
	return names
}

// userCheck compares the files of one user.
type userCheck struct {
	first     *Process
	firstFile string
	processes map[assign.ProcessID]string
	teams     map[string]string
	listeners map[netip.AddrPort]string
	names     map[assign.ServerID]string
	addresses map[netip.AddrPort]string
}

func newUserCheck() *userCheck {
	return &userCheck{
		processes: make(map[assign.ProcessID]string),
		teams:     make(map[string]string),
		listeners: make(map[netip.AddrPort]string),
		names:     make(map[assign.ServerID]string),
		addresses: make(map[netip.AddrPort]string),
	}
}

func (u *userCheck) process(file string, p Process, faults []Fault) []Fault {
	if len(faults) > 0 {
		return faults
	}
	r := &report{file: file}
	if other, twice := u.processes[p.Name]; twice {
		r.add(0, fmt.Sprintf("process %s is also in %s", p.Name, other), "give each process one file and its own name")
		return r.sorted()
	}
	u.processes[p.Name] = file
	if u.first == nil {
		u.first, u.firstFile = &p, file
	}
	u.compare(r, p)
	for _, a := range []netip.AddrPort{p.CallerAddress, p.PeerAddress, p.AdminAddress} {
		claim(r, u.listeners, a, file)
	}
	return r.sorted()
}

// compare reports settings that must be the same in every process of a cell.
func (u *userCheck) compare(r *report, p Process) {
	remedy := "make the settings the same in all process files of the user"
	if p.User != u.first.User {
		r.add(0, fmt.Sprintf("the user %s differs from %s in %s", p.User, u.first.User, u.firstFile), remedy)
	}
	if !reflect.DeepEqual(p.Peers, u.first.Peers) {
		r.add(0, "section [peers] differs from the one in "+u.firstFile, remedy)
	}
	if p.Timing != u.first.Timing {
		r.add(0, "section [timing] differs from the one in "+u.firstFile, remedy)
	}
	if p.TLS.Enabled() != u.first.TLS.Enabled() {
		r.add(0, "section [tls] has certificate files in only one of this file and "+u.firstFile, "set them in all process files of the user or in none")
	}
}

func (u *userCheck) team(file string, t Team, faults []Fault) []Fault {
	if len(faults) > 0 {
		return faults
	}
	r := &report{file: file}
	if other, twice := u.teams[t.Name]; twice {
		r.add(0, fmt.Sprintf("team %s is also in %s", t.Name, other), "give each team one file")
		return r.sorted()
	}
	u.teams[t.Name] = file
	for _, service := range t.Services {
		for _, s := range service.Servers {
			u.server(r, file, s)
		}
	}
	return r.sorted()
}

func (u *userCheck) server(r *report, file string, s assign.Server) {
	if other, twice := u.names[s.ID]; twice {
		r.add(0, fmt.Sprintf("the server name %s is also in %s", s.ID, other), "give each server of the user its own name")
	}
	u.names[s.ID] = file
	claim(r, u.addresses, s.Address, file)
}

// claim reports an address that another file has claimed. An unspecified address differs for each
// machine, so it is not claimed.
func claim(r *report, claimed map[netip.AddrPort]string, a netip.AddrPort, file string) {
	if a.Addr().IsUnspecified() {
		return
	}
	if other, twice := claimed[a]; twice {
		r.add(0, fmt.Sprintf("the address %s is also in %s", a, other), "use each address once")
	}
	claimed[a] = file
}

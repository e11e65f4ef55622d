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
	// Name is the file name. Texts in the same directory are treated as the files of one user.
	Name string
	// Team is the team of a team file. If it is empty, the team is taken from a base name of the form
	// "team-T.ini", or else from the first team section in the text.
	Team string
	// Content is the INI text.
	Content string
}

// Check returns the faults of each text and the conflicts between the texts of one user: two files
// for one process or team, process files with different users, peers or timing or of which only some
// use TLS, addresses that two processes listen on, and server names or addresses in two teams. Only
// texts without faults of their own are compared with others.
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
		return u.addProcess(t.Name, p, faults)
	case TeamFile:
		team, faults := ParseTeam(teamOf(t), t.Name, t.Content)
		return u.addTeam(t.Name, team, faults)
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

// KindOf returns the kind of a settings text, which its first known section determines. It reports
// false if the text has no known section.
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

// sectionNames returns the section names of a text in order. Lines that cannot be read are skipped.
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

// userCheck compares the files of one user. The maps hold the file in which each name or address was
// found.
type userCheck struct {
	first           *Process
	firstFile       string
	processes       map[assign.ProcessID]string
	teams           map[string]string
	listeners       map[netip.AddrPort]string
	servers         map[assign.ServerID]string
	serverAddresses map[netip.AddrPort]string
}

func newUserCheck() *userCheck {
	return &userCheck{
		processes:       make(map[assign.ProcessID]string),
		teams:           make(map[string]string),
		listeners:       make(map[netip.AddrPort]string),
		servers:         make(map[assign.ServerID]string),
		serverAddresses: make(map[netip.AddrPort]string),
	}
}

func (u *userCheck) addProcess(file string, p Process, faults []Fault) []Fault {
	if len(faults) > 0 {
		return faults
	}
	r := &report{file: file}
	if other, dup := u.processes[p.Name]; dup {
		r.add(0, fmt.Sprintf("process %s is also in %s", p.Name, other), "give each process one file and its own name")
		return r.sorted()
	}
	u.processes[p.Name] = file
	if u.first == nil {
		u.first, u.firstFile = &p, file
	}
	u.compare(r, p)
	for _, a := range []netip.AddrPort{p.CallerAddress, p.PeerAddress, p.AdminAddress} {
		recordAddress(r, u.listeners, a, file)
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

func (u *userCheck) addTeam(file string, t Team, faults []Fault) []Fault {
	if len(faults) > 0 {
		return faults
	}
	r := &report{file: file}
	if other, dup := u.teams[t.Name]; dup {
		r.add(0, fmt.Sprintf("team %s is also in %s", t.Name, other), "give each team one file")
		return r.sorted()
	}
	u.teams[t.Name] = file
	for _, service := range t.Services {
		for _, s := range service.Servers {
			u.addServer(r, file, s)
		}
	}
	return r.sorted()
}

func (u *userCheck) addServer(r *report, file string, s assign.Server) {
	if other, dup := u.servers[s.ID]; dup {
		r.add(0, fmt.Sprintf("the server name %s is also in %s", s.ID, other), "give each server of the user its own name")
	}
	u.servers[s.ID] = file
	recordAddress(r, u.serverAddresses, s.Address, file)
}

// recordAddress records the file that uses an address and reports an address that is already recorded.
// An unspecified address, such as 0.0.0.0, stands for another address on each machine and is ignored.
func recordAddress(r *report, files map[netip.AddrPort]string, a netip.AddrPort, file string) {
	if a.Addr().IsUnspecified() {
		return
	}
	if other, dup := files[a]; dup {
		r.add(0, fmt.Sprintf("the address %s is also in %s", a, other), "use each address once")
	}
	files[a] = file
}

package fleet

import (
	"io/fs"
	"net"
	"net/netip"
	"path"
	"regexp"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

// Plan is the parsed files of a deployment.
type Plan struct {
	Deployment conf.Deployment
	Processes  []conf.Process
	Teams      []conf.Team
	// Texts are the team files by team.
	Texts    map[string]string
	Platform netip.AddrPort
}

// loopback matches the addresses of the example files.
var loopback = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)

// Load reads the deployment in a folder and replaces its addresses by free ones. It returns
// ErrPlan for files that are missing or have faults.
func Load(files fs.FS, folder string) (Plan, error) {
	l := &loader{files: files, folder: folder, free: make(map[string]string)}
	defer l.close()
	text, err := l.read("deployment.ini")
	if err != nil {
		return Plan{}, err
	}
	deployment, faults := conf.ParseDeployment("deployment.ini", text)
	if len(faults) > 0 {
		return Plan{}, ErrPlan.New("%s", faults[0])
	}
	plan := Plan{Deployment: deployment, Texts: make(map[string]string)}
	for _, name := range deployment.Processes {
		if err := l.process(&plan, name+".ini"); err != nil {
			return Plan{}, err
		}
	}
	for _, name := range deployment.Teams {
		if err := l.team(&plan, name); err != nil {
			return Plan{}, err
		}
	}
	plan.Platform = plan.Processes[0].PlatformAddress
	return plan, nil
}

// loader reads the files of one folder.
type loader struct {
	files  fs.FS
	folder string
	// free maps the addresses in the files to free ones, held by the listeners until all are known.
	free      map[string]string
	listeners []net.Listener
	err       error
}

func (l *loader) close() {
	for _, listener := range l.listeners {
		listener.Close()
	}
}

func (l *loader) read(name string) (string, error) {
	text, err := fs.ReadFile(l.files, path.Join(l.folder, name))
	if err != nil {
		return "", ErrPlan.Wrap(err, "add the file %s to the deployment", name)
	}
	replaced := loopback.ReplaceAllStringFunc(string(text), l.replace)
	return replaced, l.err
}

func (l *loader) replace(address string) string {
	if f, ok := l.free[address]; ok {
		return f
	}
	listener, err := ListenFree()
	if err != nil {
		l.err = ErrPlan.Wrap(err, "free some ports of the loopback address")
		return address
	}
	l.listeners = append(l.listeners, listener)
	l.free[address] = listener.Addr().String()
	return l.free[address]
}

func (l *loader) process(plan *Plan, name string) error {
	text, err := l.read(name)
	if err != nil {
		return err
	}
	process, faults := conf.ParseProcess(name, text)
	if len(faults) > 0 {
		return ErrPlan.New("%s", faults[0])
	}
	plan.Processes = append(plan.Processes, process)
	return nil
}

func (l *loader) team(plan *Plan, name string) error {
	text, err := l.read("team-" + name + ".ini")
	if err != nil {
		return err
	}
	team, faults := conf.ParseTeam(name, "team-"+name+".ini", text)
	if len(faults) > 0 {
		return ErrPlan.New("%s", faults[0])
	}
	plan.Teams = append(plan.Teams, team)
	plan.Texts[name] = text
	return nil
}

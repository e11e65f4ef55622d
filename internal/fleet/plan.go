package fleet

import (
	"io/fs"
	"net"
	"net/netip"
	"path"
	"regexp"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

// Plan holds the parsed files of a deployment.
type Plan struct {
	Deployment conf.Deployment
	Processes  []conf.Process
	Teams      []conf.Team
	// Texts maps each team name to the text of its file.
	Texts    map[string]string
	Platform netip.AddrPort
}

// loopbackAddress matches the addresses in deployment files that Load replaces.
var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)

// Load reads the deployment in a folder and replaces its loopback addresses with free ones. It returns
// ErrPlan for files that are missing or invalid.
func Load(files fs.FS, folder string) (Plan, error) {
	l := &loader{files: files, folder: folder, replacements: make(map[string]string)}
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
		if err := l.loadProcess(&plan, name+".ini"); err != nil {
			return Plan{}, err
		}
	}
	for _, name := range deployment.Teams {
		if err := l.loadTeam(&plan, name); err != nil {
			return Plan{}, err
		}
	}
	plan.Platform = plan.Processes[0].PlatformAddress
	return plan, nil
}

// loader reads the deployment files in one folder and replaces the addresses in them.
type loader struct {
	files  fs.FS
	folder string
	// replacements maps each address in the files to a free one. The listeners keep the free ports occupied
	// until all files are read.
	replacements map[string]string
	listeners    []net.Listener
	err          error
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
	replaced := loopbackAddress.ReplaceAllStringFunc(string(text), l.replace)
	return replaced, l.err
}

func (l *loader) replace(address string) string {
	if f, ok := l.replacements[address]; ok {
		return f
	}
	listener, err := ListenFree()
	if err != nil {
		l.err = ErrPlan.Wrap(err, "free some ports of the loopback address")
		return address
	}
	l.listeners = append(l.listeners, listener)
	l.replacements[address] = listener.Addr().String()
	return l.replacements[address]
}

func (l *loader) loadProcess(plan *Plan, name string) error {
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

func (l *loader) loadTeam(plan *Plan, name string) error {
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

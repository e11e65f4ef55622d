package bench

import (
	"context"
	"fmt"
	"io/fs"
	"regexp"
	"strings"
	"testing/fstest"
	"time"

	"github.com/samphiredrum/samphiredrum/examples"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/node"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// startTime bounds the start of a fleet. Big fleets share few cores.
	startTime = 30 * time.Second
	// failureDomains is the number of failure domains of both users.
	failureDomains = 3
	// firstPort is the first port in generated files; the fleet replaces all of them by free ones.
	firstPort = 10000
)

// shape describes a fleet of another size than the user's own.
type shape struct {
	user string
	// processes is the number of entry processes.
	processes int
	// servers is the number of servers of each service, 0 for the user's own numbers.
	servers int
	// exclusive is the number of servers of the service with owners, 0 for servers.
	exclusive int
	// node are options of the entry processes.
	node []node.Option

	port int
}

var (
	serverLists   = regexp.MustCompile(`(?m)^servers = (?:.*\\\n)*.*$`)
	serverNames   = regexp.MustCompile(`([a-z-]+)-1@`)
	processesLine = regexp.MustCompile(`(?m)^processes = .*$`)
)

// full returns the shape of the user as the examples describe it.
func (s *session) full() shape {
	return shape{user: s.options.User, processes: s.options.Processes}
}

// start starts a fleet of the shape.
func (s *session) start(sh shape) (*fleet.Fleet, error) {
	files, err := sh.files()
	if err != nil {
		return nil, err
	}
	plan, err := fleet.Load(files, sh.user)
	if err != nil {
		return nil, err
	}
	f := fleet.New(plan, fleet.WithNode(sh.node...))
	ctx, cancel := context.WithTimeout(s.ctx, startTime)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// files returns the deployment files of the shape.
func (sh *shape) files() (fs.FS, error) {
	files := fstest.MapFS{}
	sh.port = firstPort
	names := make([]string, sh.processes)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i+1)
	}
	add := func(name, text string) { files[sh.user+"/"+name] = &fstest.MapFile{Data: []byte(text)} }
	deployment, err := sh.read("deployment.ini")
	if err != nil {
		return nil, err
	}
	add("deployment.ini", processesLine.ReplaceAllString(deployment, "processes = "+strings.Join(names, ", ")))
	sh.addProcesses(names, add)
	parsed, faults := conf.ParseDeployment("deployment.ini", deployment)
	if len(faults) > 0 {
		return nil, fleet.ErrPlan.New("%s", faults[0])
	}
	for _, team := range parsed.Teams {
		text, err := sh.read("team-" + team + ".ini")
		if err != nil {
			return nil, err
		}
		add("team-"+team+".ini", sh.resized(text))
	}
	return files, nil
}

func (sh *shape) read(name string) (string, error) {
	text, err := fs.ReadFile(examples.Files, sh.user+"/"+name)
	if err != nil {
		return "", fleet.ErrPlan.Wrap(err, "use khangai or bakugaisma as the user")
	}
	return string(text), nil
}

// address returns the next address.
func (sh *shape) address() string {
	sh.port++
	return fmt.Sprintf("127.0.0.1:%d", sh.port)
}

// addProcesses adds the files of the entry processes.
func (sh *shape) addProcesses(names []string, add func(name, text string)) {
	platform := sh.address()
	peers := make([]string, len(names))
	var list strings.Builder
	for i, name := range names {
		peers[i] = sh.address()
		fmt.Fprintf(&list, "%s = %s %s\n", name, peers[i], domain(i))
	}
	for i, name := range names {
		add(name+".ini", fmt.Sprintf(
			"[process]\nname = %s\nuser = %s\nfailure-domain = %s\ncaller-address = %s\npeer-address = %s\n"+
				"admin-address = %s\nplatform-address = %s\n\n[peers]\n%s",
			name, sh.user, domain(i), sh.address(), peers[i], sh.address(), platform, list.String()))
	}
}

func domain(i int) string {
	return fmt.Sprintf("fd-%d", i%failureDomains+1)
}

// resized returns the team file with the shape's number of servers.
func (sh *shape) resized(text string) string {
	sections := strings.SplitAfter(text, "\n\n")
	for i, section := range sections {
		n := sh.servers
		if strings.Contains(section, "exclusive = true") && sh.exclusive > 0 {
			n = sh.exclusive
		}
		if n == 0 {
			continue
		}
		sections[i] = serverLists.ReplaceAllStringFunc(section, func(list string) string {
			return sh.list(serverNames.FindStringSubmatch(list)[1], n)
		})
	}
	return strings.Join(sections, "")
}

// list returns the setting that lists n servers.
func (sh *shape) list(prefix string, n int) string {
	servers := make([]string, n)
	for i := range servers {
		servers[i] = fmt.Sprintf("%s-%d@%s/%s", prefix, i+1, sh.address(), domain(i))
	}
	return "servers = " + strings.Join(servers, ", ")
}

// exclusive returns the service with owners of the fleet's user.
func exclusive(f *fleet.Fleet) *conf.Service {
	return find(f, func(s *conf.Service) bool { return s.Exclusive })
}

// shared returns a service without owners whose servers check deadlines.
func shared(f *fleet.Fleet) *conf.Service {
	return find(f, func(s *conf.Service) bool { return !s.Exclusive && s.Fencing == assign.Deadlines })
}

func find(f *fleet.Fleet, match func(*conf.Service) bool) *conf.Service {
	plan := f.Plan()
	for i := range plan.Teams {
		for j := range plan.Teams[i].Services {
			if s := &plan.Teams[i].Services[j]; match(s) {
				return s
			}
		}
	}
	return nil
}

// operation returns the first operation of a class.
func operation(s *conf.Service, class conf.Class) conf.Operation {
	for _, o := range s.Operations {
		if o.Class == class {
			return o
		}
	}
	return conf.Operation{}
}

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
	// startTimeout bounds the start of a fleet. It is long because many processes share few cores.
	startTimeout = 30 * time.Second
	// failureDomains is the number of failure domains in the deployments of both users.
	failureDomains = 3
	// firstPort is the start of the port numbers in generated files; the fleet replaces them all with free ports.
	firstPort = 10000
)

// shape describes a fleet of a user, with other sizes than in the user's deployment where they are set.
type shape struct {
	user string
	// processes is the number of entry processes.
	processes int
	// servers is the number of servers of each service, 0 for the numbers in the user's deployment.
	servers int
	// exclusiveServers is the number of servers of the service with owners, 0 for the value of servers.
	exclusiveServers int
	// nodeOptions are options of the entry processes.
	nodeOptions []node.Option

	lastPort int
}

var (
	serverLists   = regexp.MustCompile(`(?m)^servers = (?:.*\\\n)*.*$`)
	serverNames   = regexp.MustCompile(`([a-z-]+)-1@`)
	processesLine = regexp.MustCompile(`(?m)^processes = .*$`)
)

// userShape returns the shape with the servers of the user's example and the number of processes in the options.
func (s *session) userShape() shape {
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
	f := fleet.New(plan, fleet.WithNode(sh.nodeOptions...))
	ctx, cancel := context.WithTimeout(s.ctx, startTimeout)
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
	sh.lastPort = firstPort
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

// address returns a loopback address with the next port number.
func (sh *shape) address() string {
	sh.lastPort++
	return fmt.Sprintf("127.0.0.1:%d", sh.lastPort)
}

// addProcesses adds the files of the entry processes.
func (sh *shape) addProcesses(names []string, add func(name, text string)) {
	platform := sh.address()
	peers := make([]string, len(names))
	var list strings.Builder
	for i, name := range names {
		peers[i] = sh.address()
		fmt.Fprintf(&list, "%s = %s %s\n", name, peers[i], failureDomain(i))
	}
	for i, name := range names {
		add(name+".ini", fmt.Sprintf(
			"[process]\nname = %s\nuser = %s\nfailure-domain = %s\ncaller-address = %s\npeer-address = %s\n"+
				"admin-address = %s\nplatform-address = %s\n\n[peers]\n%s",
			name, sh.user, failureDomain(i), sh.address(), peers[i], sh.address(), platform, list.String()))
	}
}

func failureDomain(i int) string {
	return fmt.Sprintf("fd-%d", i%failureDomains+1)
}

// resized returns the team file with the numbers of servers of the shape.
func (sh *shape) resized(text string) string {
	sections := strings.SplitAfter(text, "\n\n")
	for i, section := range sections {
		n := sh.servers
		if strings.Contains(section, "exclusive = true") && sh.exclusiveServers > 0 {
			n = sh.exclusiveServers
		}
		if n == 0 {
			continue
		}
		sections[i] = serverLists.ReplaceAllStringFunc(section, func(list string) string {
			return sh.serverSetting(serverNames.FindStringSubmatch(list)[1], n)
		})
	}
	return strings.Join(sections, "")
}

// serverSetting returns the settings line that lists n servers.
func (sh *shape) serverSetting(prefix string, n int) string {
	servers := make([]string, n)
	for i := range servers {
		servers[i] = fmt.Sprintf("%s-%d@%s/%s", prefix, i+1, sh.address(), failureDomain(i))
	}
	return "servers = " + strings.Join(servers, ", ")
}

// exclusiveService returns the service with owners of the fleet's user.
func exclusiveService(f *fleet.Fleet) *conf.Service {
	return findService(f, func(s *conf.Service) bool { return s.Exclusive })
}

// sharedService returns a service without owners whose servers check deadlines.
func sharedService(f *fleet.Fleet) *conf.Service {
	return findService(f, func(s *conf.Service) bool { return !s.Exclusive && s.Fencing == assign.Deadlines })
}

func findService(f *fleet.Fleet, match func(*conf.Service) bool) *conf.Service {
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

// firstOperation returns the first operation of a class.
func firstOperation(s *conf.Service, class conf.Class) conf.Operation {
	for _, o := range s.Operations {
		if o.Class == class {
			return o
		}
	}
	return conf.Operation{}
}

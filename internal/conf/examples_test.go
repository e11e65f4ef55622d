package conf_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// exampleUser holds the parsed files of one directory in examples.
type exampleUser struct {
	deployment conf.Deployment
	processes  []conf.Process
	teams      []conf.Team
}

func readExample(user string) exampleUser {
	GinkgoHelper()
	var u exampleUser
	var faults []conf.Fault
	u.deployment, faults = conf.ParseDeployment(readFile(user, "deployment.ini"))
	Expect(faults).To(BeEmpty())
	for _, name := range u.deployment.Processes {
		p, faults := conf.ParseProcess(readFile(user, name+".ini"))
		Expect(faults).To(BeEmpty())
		u.processes = append(u.processes, p)
	}
	for _, name := range u.deployment.Teams {
		file, text := readFile(user, "team-"+name+".ini")
		t, faults := conf.ParseTeam(name, file, text)
		Expect(faults).To(BeEmpty())
		u.teams = append(u.teams, t)
	}
	return u
}

func readFile(user, name string) (string, string) {
	GinkgoHelper()
	path := filepath.Join("../../examples", user, name)
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return path, string(text)
}

func (u exampleUser) serverCounts() map[string]int {
	counts := make(map[string]int)
	for _, t := range u.teams {
		for _, s := range t.Services {
			_, name, _ := strings.Cut(string(s.ID), "/")
			counts[name] = len(s.Servers)
		}
	}
	return counts
}

func (u exampleUser) addresses() []netip.AddrPort {
	addresses := []netip.AddrPort{u.processes[0].PlatformAddress}
	for _, p := range u.processes {
		addresses = append(addresses, p.CallerAddress, p.PeerAddress, p.AdminAddress)
	}
	for _, t := range u.teams {
		for _, s := range t.Services {
			for _, v := range s.Servers {
				addresses = append(addresses, v.Address)
			}
		}
	}
	return addresses
}

// These tests guard against examples whose numbers of processes and servers differ from the intended
// sizes, and against examples that cannot run together on one machine.
var _ = Describe("the examples", func() {
	DescribeTable("have the intended numbers of processes and servers",
		func(user string, betweenDomains, toCallers time.Duration, servers map[string]int, exclusive assign.ServiceID) {
			u := readExample(user)
			Expect(u.deployment.User).To(Equal(user))
			Expect(u.processes).To(HaveLen(11))
			Expect(u.serverCounts()).To(Equal(servers))
			Expect(u.deployment.BetweenDomains).To(Equal(betweenDomains))
			Expect(u.deployment.ToCallers).To(Equal(toCallers))
			Expect(u.deployment.StandIn.LongFactor).To(Equal(100))
			for _, p := range u.processes {
				Expect(p.User).To(Equal(user))
				Expect(p.Peers).To(HaveLen(11))
			}
			for _, t := range u.teams {
				for _, s := range t.Services {
					checkExampleService(s, s.ID == exclusive)
				}
			}
		},
		Entry("khangai", "khangai", time.Millisecond, 3*time.Millisecond,
			map[string]int{"ledger": 17, "returns": 9, "deposits": 6, "history": 6}, assign.ServiceID("yards/ledger")),
		Entry("bakugaisma", "bakugaisma", 500*time.Microsecond, time.Millisecond,
			map[string]int{"charge-log": 19, "warranty": 9, "dispatch": 6, "inventory": 6}, assign.ServiceID("buoys/charge-log")),
	)

	It("list all files of their directory and use each address once", func() {
		seen := make(map[netip.AddrPort]bool)
		for _, user := range []string{"khangai", "bakugaisma"} {
			u := readExample(user)
			files, err := filepath.Glob(filepath.Join("../../examples", user, "*"))
			Expect(err).NotTo(HaveOccurred())
			Expect(files).To(HaveLen(len(u.processes) + len(u.teams) + 1))
			for _, a := range u.addresses() {
				Expect(a.Addr()).To(Equal(netip.MustParseAddr("127.0.0.1")))
				Expect(seen[a]).To(BeFalse(), a.String())
				seen[a] = true
			}
		}
	})

	It("pass Check together", func() {
		var texts []conf.Text
		files, err := filepath.Glob("../../examples/*/*.ini")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range files {
			text, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			texts = append(texts, conf.Text{Name: name, Content: string(text)})
		}
		Expect(texts).To(HaveLen(28))
		Expect(conf.Check(texts)).To(BeEmpty())
	})
})

func checkExampleService(s conf.Service, exclusive bool) {
	GinkgoHelper()
	Expect(s.Slots).To(Equal(6))
	Expect(s.Connections).To(Equal(130))
	Expect(s.Exclusive).To(Equal(exclusive))
	domains := make(map[string]bool)
	for _, v := range s.Servers {
		domains[v.FailureDomain] = true
	}
	Expect(domains).To(HaveLen(3))
	if exclusive {
		Expect(s.Fencing).To(Equal(assign.Grants))
		checkExampleKeys(s)
	}
}

// checkExampleKeys guards against an operation of an exclusive service whose calls have no key.
func checkExampleKeys(s conf.Service) {
	GinkgoHelper()
	none := func(string) string { return "" }
	for _, o := range s.Operations {
		path := o.Prefix + "/key-1"
		found, ok := s.Match(o.Method, path)
		Expect(ok).To(BeTrue())
		Expect(found).To(Equal(o))
		Expect(s.Key.Extract(none, none, path)).To(Equal("key-1"))
	}
}

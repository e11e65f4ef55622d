package cmds_test

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/examples"
	"github.com/samphiredrum/samphiredrum/internal/admin"
	"github.com/samphiredrum/samphiredrum/internal/cmds"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/node"
)

var _ = Describe("commands that ask a process", Ordered, func() {
	var address string
	var stopped chan struct{}

	BeforeAll(func() {
		plan, err := fleet.Load(examples.Files, "khangai")
		Expect(err).NotTo(HaveOccurred())
		f := fleet.New(plan)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		Expect(f.Start(ctx)).To(Succeed())
		DeferCleanup(f.Stop)
		free, err := fleet.ListenFree()
		Expect(err).NotTo(HaveOccurred())
		bound := free.Addr().(*net.TCPAddr).AddrPort()
		Expect(free.Close()).To(Succeed())
		stopped = make(chan struct{})
		server, err := admin.Listen(bound, f.Node("entry-1"), func() { close(stopped) })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
		address = bound.String()
	})

	ask := func(args ...string) (int, string, string) {
		return run(append(args, "--admin", address)...)
	}

	It("print the status as a table and as JSON", func() {
		code, out, _ := ask("status")
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("ledger-1"))
		code, out, _ = ask("status", "--output", "json")
		Expect(code).To(Equal(cmds.ExitOK))
		var status node.Status
		Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
		Expect(status.Serving).To(BeTrue())
	})

	// Guards against an operator who overwrites another's change, or is not told what it lost against.
	It("change a configuration once and refuse the stale second change", func() {
		code, text, errors := ask("config", "get", "desk")
		Expect(code).To(Equal(cmds.ExitOK))
		version := strings.TrimPrefix(strings.TrimSpace(errors), "version=")
		changed := strings.Replace(text, "contact = desk", "contact = night-desk", 1)
		file := filepath.Join(GinkgoT().TempDir(), "team-desk.ini")
		Expect(os.WriteFile(file, []byte(changed), 0o600)).To(Succeed())
		code, out, _ := ask("config", "diff", "desk", file)
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("+contact = night-desk"))
		code, out, _ = ask("config", "set", "desk", file, "--if-version", version)
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("accepted=true"))
		code, _, errors = ask("config", "set", "desk", file, "--if-version", version)
		Expect(code).To(Equal(cmds.ExitFailed))
		Expect(errors).To(ContainSubstring("read it, merge and repeat"))
		code, out, _ = ask("config", "history", "desk")
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("kind=configuration"))
	})

	// Guards against an answer without a remedy, and against a command that changes something although
	// it was refused.
	DescribeTable("refuse what they cannot do with one line", func(code int, words string, args ...string) {
		got, _, errors := ask(args...)
		Expect(got).To(Equal(code))
		Expect(strings.Count(errors, "\n")).To(Equal(1))
		Expect(errors).To(ContainSubstring(words))
	},
		Entry("an unknown server", cmds.ExitFailed, "look at status", "drain", "ledger-99"),
		Entry("a file that is no INI", cmds.ExitFailed, "remedy", "config", "set", "desk", "cmds_test.go"),
		Entry("a wrong output format", cmds.ExitUsage, "text or json", "status", "--output", "xml"),
		Entry("a wrong key hash", cmds.ExitUsage, "hexadecimal", "timeline", "--hash", "yard"),
		Entry("an unknown kind of event", cmds.ExitUsage, "use one of", "timeline", "--kind", "nothing"),
		Entry("a planned stop that cannot be cancelled", cmds.ExitUsage, "name a server", "drain", "--cancel"),
	)

	It("print and plot the time line", func() {
		plot := filepath.Join(GinkgoT().TempDir(), "events.svg")
		code, out, _ := ask("timeline", "--key", "yard-7", "--plot", plot)
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("kind=open"))
		drawn, err := os.ReadFile(plot)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(drawn)).To(ContainSubstring("<svg"))
	})

	It("drain a server, and begin the planned stop of the process", func() {
		code, _, _ := ask("drain", "ledger-3")
		Expect(code).To(Equal(cmds.ExitOK))
		code, _, _ = ask("drain")
		Expect(code).To(Equal(cmds.ExitOK))
		Eventually(stopped).Should(BeClosed())
	})
})

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

var _ = Describe("commands that call a process", Ordered, func() {
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
		listener, err := fleet.ListenFree()
		Expect(err).NotTo(HaveOccurred())
		bound := listener.Addr().(*net.TCPAddr).AddrPort()
		Expect(listener.Close()).To(Succeed())
		stopped = make(chan struct{})
		server, err := admin.Listen(bound, f.Node("entry-1"), func() { close(stopped) })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
		address = bound.String()
	})

	runAdmin := func(args ...string) (int, string, string) {
		return run(append(args, "--admin", address)...)
	}

	It("print the status as a table and as JSON", func() {
		code, out, _ := runAdmin("status")
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("ledger-1"))
		code, out, _ = runAdmin("status", "--output", "json")
		Expect(code).To(Equal(cmds.ExitOK))
		var status node.Status
		Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
		Expect(status.Serving).To(BeTrue())
	})

	// Guards against a change that overwrites a concurrent change of another operator, and against a conflict error
	// that does not say what to do next.
	It("change a configuration once and refuse a second change with a stale version", func() {
		code, text, stderr := runAdmin("config", "get", "desk")
		Expect(code).To(Equal(cmds.ExitOK))
		version := strings.TrimPrefix(strings.TrimSpace(stderr), "version=")
		changed := strings.Replace(text, "contact = desk", "contact = night-desk", 1)
		file := filepath.Join(GinkgoT().TempDir(), "team-desk.ini")
		Expect(os.WriteFile(file, []byte(changed), 0o600)).To(Succeed())
		code, out, _ := runAdmin("config", "diff", "desk", file)
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("+contact = night-desk"))
		code, out, _ = runAdmin("config", "set", "desk", file, "--if-version", version)
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("accepted=true"))
		code, _, stderr = runAdmin("config", "set", "desk", file, "--if-version", version)
		Expect(code).To(Equal(cmds.ExitFailed))
		Expect(stderr).To(ContainSubstring("read it, merge and repeat"))
		code, out, _ = runAdmin("config", "history", "desk")
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("kind=configuration"))
	})

	// Guards against an error without a remedy or over several lines, and against a command that is carried out
	// although it must be refused.
	DescribeTable("report a refused command as one line", func(code int, words string, args ...string) {
		got, _, stderr := runAdmin(args...)
		Expect(got).To(Equal(code))
		Expect(strings.Count(stderr, "\n")).To(Equal(1))
		Expect(stderr).To(ContainSubstring(words))
	},
		Entry("an unknown server", cmds.ExitFailed, "look at status", "drain", "ledger-99"),
		Entry("a file that is not INI", cmds.ExitFailed, "remedy", "config", "set", "desk", "cmds_test.go"),
		Entry("a wrong output format", cmds.ExitUsage, "text or json", "status", "--output", "xml"),
		Entry("a wrong key hash", cmds.ExitUsage, "hexadecimal", "timeline", "--hash", "yard"),
		Entry("an unknown kind of event", cmds.ExitUsage, "use one of", "timeline", "--kind", "nothing"),
		Entry("a planned stop that cannot be cancelled", cmds.ExitUsage, "name a server", "drain", "--cancel"),
	)

	It("print and plot the timeline", func() {
		plot := filepath.Join(GinkgoT().TempDir(), "events.svg")
		code, out, _ := runAdmin("timeline", "--key", "yard-7", "--plot", plot)
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(ContainSubstring("kind=open"))
		svg, err := os.ReadFile(plot)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(svg)).To(ContainSubstring("<svg"))
	})

	It("drain a server and begin the planned stop of the process", func() {
		code, _, _ := runAdmin("drain", "ledger-3")
		Expect(code).To(Equal(cmds.ExitOK))
		code, _, _ = runAdmin("drain")
		Expect(code).To(Equal(cmds.ExitOK))
		Eventually(stopped).Should(BeClosed())
	})
})

package cmds_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/cmds"
	"github.com/samphiredrum/samphiredrum/internal/conf"
)

func TestCmds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmds")
}

// run executes a command line and returns the exit code, the standard output and the standard error.
func run(args ...string) (int, string, string) {
	var out, stderr bytes.Buffer
	code := cmds.Execute(context.Background(), args, &out, &stderr)
	return code, out.String(), stderr.String()
}

// write creates a file in a temporary directory of the current test and returns its path.
func write(name, content string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

const correctTeam = `[team.yards.service.ledger]
servers = ledger-1@127.0.0.1:22001/fd-1
[team.yards.service.ledger.operation.all]
match = GET /
`

var _ = Describe("samphiredrum check", func() {
	// Guards against a check that reports faults in correct files.
	It("accepts correct files", func() {
		examples, err := filepath.Glob("../../examples/*/*.ini")
		Expect(err).NotTo(HaveOccurred())
		code, out, stderr := run(append([]string{"check"}, examples...)...)
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(Equal("files-correct=28\n"))
		Expect(stderr).To(BeEmpty())
	})

	// Guards against a check that accepts a wrong file, and against a fault that is printed on several lines.
	It("prints each fault as one line and fails", func() {
		path := write("team-yards.ini", correctTeam+"retryable = true\nklass = short\n")
		code, out, stderr := run("check", path)
		Expect(code).To(Equal(cmds.ExitFailed))
		Expect(strings.Split(out, "\n")).To(Equal([]string{
			path + `:5: section [team.yards.service.ledger.operation.all] has no key "retryable"; remedy: the nearest known key is "repeatable"`,
			path + `:6: section [team.yards.service.ledger.operation.all] has no key "klass"; remedy: the nearest known key is "class"`,
			"",
		}))
		Expect(stderr).To(Equal("samphiredrum: faults=2 files-checked=1; apply the remedies above and check again\n"))
	})

	// Guards against a file that is checked as the configuration of another team.
	It("checks a file for the team of the --team flag", func() {
		path := write("x.ini", correctTeam)
		code, _, _ := run("check", path)
		Expect(code).To(Equal(cmds.ExitOK))
		code, out, _ := run("check", "--team", "depot", path)
		Expect(code).To(Equal(cmds.ExitFailed))
		Expect(out).To(ContainSubstring("subtree of another team"))
	})

	// Guards against a missing file, a directory or a file above the size limit that counts as correct, and against
	// a check that skips the other files after one of these.
	It("reports files that it cannot read and checks the others", func() {
		good := write("team-yards.ini", correctTeam)
		huge := write("huge.ini", strings.Repeat("#", 2*conf.MaxBytes))
		code, out, _ := run("check", good, filepath.Dir(good), good+".missing", huge)
		Expect(code).To(Equal(cmds.ExitFailed))
		lines := strings.Split(strings.TrimSpace(out), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(ContainSubstring("is a directory"))
		Expect(lines[1]).To(ContainSubstring("no such file"))
		Expect(lines[2]).To(ContainSubstring("the text has 999745 bytes, more than 999744"))
	})
})

var _ = Describe("the command line", func() {
	// Guards against a usage error that takes several lines or has no remedy.
	DescribeTable("reports a usage error as one line with a remedy",
		func(want string, args ...string) {
			code, out, stderr := run(args...)
			Expect(code).To(Equal(cmds.ExitUsage))
			Expect(out).To(BeEmpty())
			Expect(stderr).To(Equal("samphiredrum: " + want + "\n"))
		},
		Entry("mistyped command", `there is no command "chek"; did you mean "check"?`, "chek"),
		Entry("mistyped command with flags", `there is no command "chek"; did you mean "check"?`, "chek", "--team", "yards", "x.ini"),
		Entry("unknown flag before a command", `unknown flag: --verbose; run "samphiredrum --help" for the flags`, "--verbose", "chek"),
		Entry("unknown command", `there is no command "frobnicate"; run "samphiredrum --help" for the list of commands`, "frobnicate", "-x"),
		Entry("unknown flag", `unknown flag: --verbose; run "samphiredrum --help" for the flags`, "--verbose"),
		Entry("unknown flag of a command", `unknown flag: --tem; run "samphiredrum check --help" for the flags`, "check", "--tem", "yards"),
		Entry("unknown short flag", `unknown shorthand flag: 'x' in -x; run "samphiredrum check --help" for the flags`, "check", "-x"),
		Entry("flag without a value", `flag needs an argument: --team; run "samphiredrum check --help" for the flags`, "check", "--team"),
		Entry("no file", `"check" needs 1 or more arguments FILE; run "samphiredrum check --help" for examples`, "check"),
		Entry("too many arguments", `"version" takes no arguments, but got "now"; leave them out`, "version", "now"),
	)

	// Guards against help that fails or lacks examples.
	It("prints help with examples", func() {
		for _, args := range [][]string{nil, {"--help"}, {"help"}, {"help", "check"}, {"check", "--help"}, {"version", "-h"}} {
			code, out, stderr := run(args...)
			Expect(code).To(Equal(cmds.ExitOK), "%v", args)
			Expect(out).To(ContainSubstring("Examples:"), "%v", args)
			Expect(stderr).To(BeEmpty())
		}
	})

	// Guards against a version line that does not identify the build.
	It("prints its version", func() {
		code, out, _ := run("version")
		Expect(code).To(Equal(cmds.ExitOK))
		Expect(out).To(MatchRegexp(`^version=\S+ revision=\S+ go=go\S+\n$`))
	})
})

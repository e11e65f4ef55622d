package conf_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

const validTeam = `[team.yards.service.ledger]
servers = ledger-1@127.0.0.1:22001/fd-1
[team.yards.service.ledger.operation.all]
match = GET /
`

// secondProcess is another process of the same cell as validProcess.
var secondProcess = strings.NewReplacer(
	"name = entry-1", "name = entry-2",
	"failure-domain = fd-1", "failure-domain = fd-2",
	"caller-address = 127.0.0.1:8001", "caller-address = 127.0.0.1:8002",
	"peer-address = 127.0.0.1:9001", "peer-address = 127.0.0.1:9002",
	"admin-address = 127.0.0.1:7001", "admin-address = 127.0.0.1:7002",
).Replace(validProcess)

func problems(texts ...conf.Text) []string {
	var found []string
	for _, f := range conf.Check(texts) {
		found = append(found, f.File+": "+f.Problem)
	}
	return found
}

var _ = Describe("Check with several files", func() {
	// Guards against false conflicts between consistent files.
	It("accepts consistent files of one user", func() {
		Expect(problems(
			conf.Text{Name: "a.ini", Content: validProcess},
			conf.Text{Name: "b.ini", Content: secondProcess},
			conf.Text{Name: "team-yards.ini", Content: validTeam},
		)).To(BeEmpty())
	})

	// Guards against processes of one cell that use different leases or electors.
	It("reports processes with different settings", func() {
		other := strings.Replace(secondProcess, "entry-1 = 127.0.0.1:9001 fd-1", "entry-3 = 127.0.0.1:9003 fd-1", 1)
		other = strings.Replace(other, "user = khangai", "user = other", 1) + "[timing]\ngrant = 1900ms\n"
		Expect(problems(
			conf.Text{Name: "a.ini", Content: validProcess},
			conf.Text{Name: "b.ini", Content: other},
		)).To(Equal([]string{
			"b.ini: the user other differs from khangai in a.ini",
			"b.ini: section [peers] differs from the one in a.ini",
			"b.ini: section [timing] differs from the one in a.ini",
		}))
	})

	// Guards against a cell in which only some processes use TLS and cannot connect to the others.
	It("reports processes if only one has certificates", func() {
		files := "[tls]\ncertificate = c.pem\nkey = c.key\nauthority = a.pem\n"
		Expect(problems(
			conf.Text{Name: "a.ini", Content: validProcess},
			conf.Text{Name: "b.ini", Content: secondProcess + files},
		)).To(Equal([]string{"b.ini: section [tls] has certificate files in only one of this file and a.ini"}))
	})

	// Guards against two processes that listen on the same address, and one process with two files.
	It("reports a process or an address in two files", func() {
		same := strings.Replace(secondProcess, "127.0.0.1:8002", "127.0.0.1:8001", 1)
		Expect(problems(
			conf.Text{Name: "a.ini", Content: validProcess},
			conf.Text{Name: "b.ini", Content: same},
			conf.Text{Name: "c.ini", Content: validProcess},
		)).To(Equal([]string{
			"b.ini: the address 127.0.0.1:8001 is also in a.ini",
			"c.ini: process entry-1 is also in a.ini",
		}))
	})

	// Guards against a server with two names or in two services, whose slots would be counted twice.
	It("reports a server in two teams", func() {
		depot := strings.ReplaceAll(validTeam, "yards", "depot")
		Expect(problems(
			conf.Text{Name: "team-yards.ini", Content: validTeam},
			conf.Text{Name: "team-depot.ini", Content: depot},
			conf.Text{Name: "again.ini", Content: depot},
			conf.Text{Name: "elsewhere/team-depot.ini", Content: depot},
		)).To(Equal([]string{
			"team-depot.ini: the server name ledger-1 is also in team-yards.ini",
			"team-depot.ini: the address 127.0.0.1:22001 is also in team-yards.ini",
			"again.ini: team depot is also in team-depot.ini",
		}))
	})

	// Guards against a file that is checked for the wrong team.
	It("takes the team from the argument, the file name or the text", func() {
		Expect(problems(conf.Text{Name: "x.ini", Content: validTeam})).To(BeEmpty())
		Expect(problems(conf.Text{Name: "team-depot.ini", Content: validTeam})).To(ContainElement(
			ContainSubstring("subtree of another team")))
		Expect(problems(conf.Text{Name: "team-yards.ini", Team: "depot", Content: validTeam})).To(ContainElement(
			ContainSubstring("subtree of another team")))
	})

	// Guards against a text of another format that is accepted because it has no known section.
	It("reports a text without any known section", func() {
		Expect(problems(
			conf.Text{Name: "a", Content: ""},
			conf.Text{Name: "b", Content: "[other]\nx = 1\n"},
			conf.Text{Name: "c", Content: "name: x"},
		)).To(Equal([]string{
			"a: the text has no known section",
			"b: the text has no known section",
			`c: the line "name: x" is neither a section nor a setting`,
		}))
	})

	// Guards against text that is not UTF-8 or is too large, and against an unbounded number of faults.
	It("limits the size of texts and the number of faults", func() {
		faultsOf := func(text string) []conf.Fault {
			_, faults := conf.ParseTeam("yards", "f", text)
			return faults
		}
		Expect(faultsOf(strings.Repeat("#", conf.MaxBytes+1))).To(HaveLen(1))
		Expect(faultsOf("[team.yards]\n\xff = 1")[0].Problem).To(Equal("the text is not UTF-8"))
		Expect(faultsOf("a = " + strings.Repeat("x", 70000))[0].Problem).To(HavePrefix(`the value of "a" is longer than`))
		Expect(faultsOf("a = \\\n" + strings.Repeat("x\\\n", 600))[0].Problem).To(HavePrefix(`the value of "a" is longer than`))
		many := faultsOf("[team.yards]\n" + strings.Repeat("a = 1\nb = 2\n", 1000))
		Expect(many).To(HaveLen(conf.MaxFaults + 1))
		Expect(many[conf.MaxFaults].Problem).To(Equal("1900 more faults are not listed"))
	})

	// Guards against a parse time that is quadratic in the size of the text: one text from an operator
	// could block an entry process. With this failure the test does not end.
	It("parses large texts in acceptable time", func() {
		block := "a = \\\n" + strings.Repeat("x\\\n", 20000) + "\n\n"
		for _, line := range []string{block, "a=\n", "servers=\\\n", "[a]\n", "[team.yards]\n"} {
			text := "[team.yards.service.ledger]\n"
			text += strings.Repeat(line, (conf.MaxBytes-len(text))/len(line))
			Expect(conf.Check([]conf.Text{{Name: "f", Content: text}})).NotTo(BeEmpty(), line)
		}
	})

	// Guards against a byte order mark or CRLF line ends that change a name or a line number.
	It("accepts a byte order mark and CRLF line ends", func() {
		text := "\uFEFF" + strings.ReplaceAll(validTeam, "\n", "\r\n")
		_, faults := conf.ParseTeam("yards", "f", text)
		Expect(faults).To(BeEmpty())
		_, faults = conf.ParseTeam("yards", "f", text+"x = 1\r\n")
		Expect(faults).To(HaveLen(1))
		Expect(faults[0].Line).To(Equal(5))
	})
})

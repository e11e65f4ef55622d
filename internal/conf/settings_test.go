package conf_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const page = "../../docs/settings.md"

// Guards against a reference page that differs from what the parser does.
func TestSettingsPage(t *testing.T) {
	g := NewWithT(t)
	if *update {
		g.Expect(os.WriteFile(page, []byte(conf.Reference()), 0o644)).To(Succeed())
	}
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(conf.Reference()), "the page is stale; run: go test ./internal/conf -update")
}

package conf_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const settingsPage = "../../docs/settings.md"

// TestSettingsPage guards against a reference page that differs from the table of keys.
func TestSettingsPage(t *testing.T) {
	g := NewWithT(t)
	if *update {
		g.Expect(os.WriteFile(settingsPage, []byte(conf.Reference()), 0o644)).To(Succeed())
	}
	text, err := os.ReadFile(settingsPage)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(conf.Reference()), "the page is stale; run: go test ./internal/conf -update")
}

package cmds

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/platform"
)

var _ = Describe("the settings file of an entry process", func() {
	const text = `
nodeName: "front-1"
ip: "10.1.0.15"
listen: {front: "10.1.0.15:8641", readyAddr: "10.1.0.15:8640"}
platform: {address: "10.200.1.7:8642"}
bounds: {graceS: 6}
`

	// Guards against a change without a SIGHUP that goes unnoticed, and against an invalid file that is read again at
	// every check.
	It("reports each change once", func() {
		f := settingsFile{path: filepath.Join(GinkgoT().TempDir(), "settings.yaml")}
		Expect(f.changed()).To(BeFalse())
		Expect(os.WriteFile(f.path, []byte(text), 0o600)).To(Succeed())
		settings, err := f.read()
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Bounds).To(Equal(platform.Bounds{GracePeriod: 6 * time.Second}))
		Expect(f.changed()).To(BeFalse())

		Expect(os.WriteFile(f.path, []byte("ip: nowhere"), 0o600)).To(Succeed())
		Expect(f.changed()).To(BeTrue())
		_, err = f.read()
		Expect(err).To(HaveOccurred())
		Expect(f.changed()).To(BeFalse())

		Expect(os.Remove(f.path)).To(Succeed())
		Expect(f.changed()).To(BeFalse())
	})
})

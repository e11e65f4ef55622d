package conf_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

var _ = Describe("the token of a write", func() {
	// Guards against a stored text that differs from what its operator wrote, in any byte.
	It("leaves the text as it was", func() {
		for _, text := range []string{"", "\n", correctTeam, strings.TrimSpace(correctTeam), "a = b \\", "\n# writer-token = "} {
			stored := conf.WithToken(text, "t-1")
			body, token := conf.SplitToken(stored)
			Expect(body).To(Equal(text))
			Expect(token).To(Equal("t-1"))
			Expect(conf.WithToken(stored, "t-2")).To(Equal(conf.WithToken(text, "t-2")))
		}
	})

	// Guards against a text without a token, or with a token somewhere else, that loses a part.
	It("is found in the last line only", func() {
		for _, text := range []string{"", correctTeam, "\n# writer-token = a b\n", "\n# writer-token = a", "\n# writer-token = a\n[b]\n"} {
			body, token := conf.SplitToken(text)
			Expect(body).To(Equal(text))
			Expect(token).To(BeEmpty())
		}
	})

	// Guards against a stored text that the checker refuses, and one that the object API refuses.
	It("keeps the text INI and within the value limit", func() {
		_, faults := conf.ParseTeam("yards", "f", conf.WithToken(correctTeam, "t-1"))
		Expect(faults).To(BeEmpty())
		longest := strings.Repeat("#", conf.MaxBytes)
		Expect(len(conf.WithToken(longest, strings.Repeat("t", conf.MaxTokenBytes)))).To(BeNumerically("<=", 1_000_000))
	})
})

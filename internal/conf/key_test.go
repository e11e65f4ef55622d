package conf_test

import (
	"errors"
	"net/url"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

func none(string) string { return "" }

func constant(value string) func(string) string {
	return func(string) string { return value }
}

var _ = Describe("KeySource", func() {
	kindOf := func(err error) conf.KeyErrorKind {
		var k *conf.KeyError
		ExpectWithOffset(1, errors.As(err, &k)).To(BeTrue())
		return k.Kind
	}

	// Guards against a key that is read from another place than the configured one.
	It("reads the named header, parameter or segment", func() {
		named := func(want string) func(string) string {
			return func(name string) string {
				if name == want {
					return "yard-17"
				}
				return ""
			}
		}
		Expect(conf.HeaderKey{Name: "Yard-Id"}.Extract(named("Yard-Id"), none, "/")).To(Equal("yard-17"))
		Expect(conf.QueryKey{Name: "yard"}.Extract(none, named("yard"), "/")).To(Equal("yard-17"))
		Expect(conf.SegmentKey{Index: 1}.Extract(none, none, "/yard-17/x")).To(Equal("yard-17"))
		Expect(conf.SegmentKey{Index: 2}.Extract(none, none, "/balances/yard-17")).To(Equal("yard-17"))
		Expect(conf.SegmentKey{Index: 3}.Extract(none, none, "/a/b/yard-17/")).To(Equal("yard-17"))
	})

	// Guards against two owners of one key. The server sees the decoded segment, so all encodings of it
	// are the same key.
	It("reads all encodings of a segment as one key", func() {
		for _, path := range []string{"/balances/yard-17", "/balances/yard%2D17", "/balances/%79ard-17"} {
			Expect(conf.SegmentKey{Index: 2}.Extract(none, none, path)).To(Equal("yard-17"))
		}
		Expect(conf.HeaderKey{Name: "Yard"}.Extract(constant(" yard-17\t"), none, "/")).To(Equal("yard-17"))
	})

	// Guards against an empty key: all calls without a key would be routed to its owner.
	It("refuses a call without a key", func() {
		sources := []conf.KeySource{conf.HeaderKey{Name: "A"}, conf.QueryKey{Name: "a"}, conf.SegmentKey{Index: 2}}
		for _, path := range []string{"", "/", "/a", "/a/", "a/b"} {
			for _, s := range sources {
				_, err := s.Extract(none, none, path)
				Expect(kindOf(err)).To(Equal(conf.KeyMissing), "%s of %q", s, path)
				Expect(err.Error()).To(ContainSubstring(s.String()))
			}
		}
	})

	// Guards against keys that a server may interpret differently, and keys of unbounded size.
	It("refuses malformed and long keys", func() {
		_, err := conf.HeaderKey{Name: "A"}.Extract(constant(strings.Repeat("a", conf.MaxKeyBytes+1)), none, "/")
		Expect(kindOf(err)).To(Equal(conf.KeyTooLong))
		for _, key := range []string{"a\x00", "a\nb", "\xff"} {
			_, err := conf.QueryKey{Name: "a"}.Extract(none, constant(key), "/")
			Expect(kindOf(err)).To(Equal(conf.KeyMalformed), "%q", key)
			Expect(err).To(MatchError(ContainSubstring("malformed")))
		}
		for _, path := range []string{"/%zz", "/%2f", "/..", "/%2E", "/a%00"} {
			_, err := conf.SegmentKey{Index: 1}.Extract(none, none, path)
			Expect(kindOf(err)).To(Equal(conf.KeyMalformed), "%q", path)
		}
	})

	// Guards against a text form of a source that parses as another source.
	It("parses the result of String", func() {
		for _, text := range []string{"header:Yard-Id", "query:yard", "path:2"} {
			s, err := conf.ParseKeySource(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.String()).To(Equal(text))
		}
		_, err := conf.ParseKeySource("path:x")
		Expect(err).To(MatchError(ContainSubstring("path:N")))
	})
})

// FuzzExtract guards against a panic, an invalid key, and an encoded segment that decodes to another key.
func FuzzExtract(f *testing.F) {
	f.Add("yard-17", "/balances/yard-17", 2)
	f.Add(" ", "/a/%2f", 2)
	f.Add("\xff\x00", "/%41//", 1)
	f.Add("", "a/b", 0)
	f.Add("x", "/..", -1)
	f.Fuzz(func(t *testing.T, value, path string, index int) {
		sources := []conf.KeySource{conf.HeaderKey{Name: "A"}, conf.QueryKey{Name: "a"}, conf.SegmentKey{Index: index}}
		for _, s := range sources {
			key, err := s.Extract(constant(value), constant(value), path)
			checkExtracted(t, key, err)
		}
		key, err := conf.SegmentKey{Index: 2}.Extract(none, none, "/a/"+url.PathEscape(value)+"/"+path)
		if err == nil && key != value {
			t.Fatalf("%q reads as %q", value, key)
		}
	})
}

func checkExtracted(t *testing.T, key string, err error) {
	var k *conf.KeyError
	if err != nil {
		if !errors.As(err, &k) || key != "" {
			t.Fatalf("key %q with error %v", key, err)
		}
		return
	}
	if key == "" || len(key) > conf.MaxKeyBytes || !utf8.ValidString(key) {
		t.Fatalf("invalid key %q", key)
	}
	if strings.ContainsFunc(key, func(c rune) bool { return c < 0x80 && unicode.IsControl(c) }) {
		t.Fatalf("control character in key %q", key)
	}
}

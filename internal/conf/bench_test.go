package conf

import "testing"

// BenchmarkCall measures the matching and the key extraction of one call.
func BenchmarkCall(b *testing.B) {
	s := Service{Key: SegmentKey{Index: 2}, Operations: []Operation{
		{Name: "history", Method: "GET", Prefix: "/batch-histories"},
		{Name: "balances", Method: "GET", Prefix: "/balances"},
		{Name: "book", Method: "POST", Prefix: "/postings"},
	}}
	none := func(string) string { return "" }
	header := func(string) string { return "yard-17" }
	path := "/balances/yard-17"
	b.Run("segment", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Match("GET", path)
			_, _ = s.Key.Extract(none, none, path)
		}
	})
	b.Run("header", func(b *testing.B) {
		s.Key = HeaderKey{Name: "Yard-Id"}
		b.ReportAllocs()
		for b.Loop() {
			s.Match("GET", path)
			_, _ = s.Key.Extract(header, none, path)
		}
	})
}

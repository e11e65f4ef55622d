package scene

import "strings"

// dropSection removes a section of an INI text and its subsections, whose names extend it after a dot.
func dropSection(text, section string) string {
	var kept []string
	drop := false
	for _, row := range strings.Split(text, "\n") {
		if name, ok := sectionOf(row); ok {
			drop = name == section || strings.HasPrefix(name, section+".")
		}
		if !drop {
			kept = append(kept, row)
		}
	}
	return strings.Join(kept, "\n")
}

// setKey sets a key in a section of an INI text. It replaces an existing key including its continuation lines.
// If the section does not exist, the text is unchanged.
func setKey(text, section, key, value string) string {
	var kept []string
	inside, skipping := false, false
	for _, row := range strings.Split(text, "\n") {
		continues := strings.HasSuffix(strings.TrimSpace(row), "\\")
		if skipping {
			skipping = continues
			continue
		}
		if name, ok := sectionOf(row); ok {
			inside = name == section
			kept = append(kept, row)
			if inside {
				kept = append(kept, key+" = "+value)
			}
			continue
		}
		if inside && keyOf(row) == key {
			skipping = continues
			continue
		}
		kept = append(kept, row)
	}
	return strings.Join(kept, "\n")
}

func sectionOf(row string) (string, bool) {
	row = strings.TrimSpace(row)
	if !strings.HasPrefix(row, "[") || !strings.HasSuffix(row, "]") {
		return "", false
	}
	return strings.Trim(row, "[]"), true
}

func keyOf(row string) string {
	key, _, ok := strings.Cut(row, "=")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

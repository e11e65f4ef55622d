package conf

import "strings"

// sectionParts are the names in the name of a team file's section.
type sectionParts struct{ team, service, operation string }

// badName returns the first part that is no name. Parts that the section does not have are empty.
func (p sectionParts) badName() (string, bool) {
	for _, name := range []string{p.service, p.operation} {
		if name != "" && !isName(name) {
			return name, true
		}
	}
	return "", false
}

// splitSection returns the names and the pattern of a team file's section. It reports false for
// other sections.
func splitSection(name string) (sectionParts, string, bool) {
	words := strings.Split(name, ".")
	for _, pattern := range sectionsOf(TeamFile) {
		if p, ok := fitPattern(words, strings.Split(pattern, ".")); ok {
			return p, pattern, true
		}
	}
	return sectionParts{}, "", false
}

// fitPattern compares words with a pattern of words, in which T, S and O stand for any name.
func fitPattern(words, pattern []string) (sectionParts, bool) {
	var p sectionParts
	if len(words) != len(pattern) {
		return p, false
	}
	for i, w := range words {
		switch {
		case w == "":
			return p, false
		case pattern[i] == "T":
			p.team = w
		case pattern[i] == "S":
			p.service = w
		case pattern[i] == "O":
			p.operation = w
		case pattern[i] != w:
			return p, false
		}
	}
	return p, true
}

// nearestSection returns the known section name nearest to a wrong one, with the names that the
// operator gave where they are in the right place.
func nearestSection(name, team string) string {
	words := strings.Split(name, ".")
	var candidates []string
	for _, pattern := range sectionsOf(TeamFile) {
		parts := strings.Split(pattern, ".")
		for i := range parts {
			switch {
			case parts[i] == "T":
				parts[i] = team
			case len(parts[i]) == 1 && i < len(words) && isName(words[i]):
				parts[i] = words[i]
			}
		}
		candidates = append(candidates, strings.Join(parts, "."))
	}
	return nearest(name, candidates)
}

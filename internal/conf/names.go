package conf

import "strings"

// sectionParts are the names that a section name of a team file contains.
type sectionParts struct{ team, service, operation string }

// invalidName returns the service or operation if it is not a valid name. Parts that the section name
// does not contain are empty and are not checked.
func (p sectionParts) invalidName() (string, bool) {
	for _, name := range []string{p.service, p.operation} {
		if name != "" && !isName(name) {
			return name, true
		}
	}
	return "", false
}

// parseSectionName returns the names in a section name of a team file and the pattern that it matches.
// It reports false if it matches none.
func parseSectionName(name string) (sectionParts, string, bool) {
	words := strings.Split(name, ".")
	for _, pattern := range sectionsOf(TeamFile) {
		if p, ok := matchPattern(words, strings.Split(pattern, ".")); ok {
			return p, pattern, true
		}
	}
	return sectionParts{}, "", false
}

// matchPattern matches words against a pattern of words, in which T, S and O stand for any name.
func matchPattern(words, pattern []string) (sectionParts, bool) {
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

// nearestSection returns the known section name with the smallest edit distance to an unknown one. In
// its pattern, the team and the valid names from the same positions of the unknown one are filled in.
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

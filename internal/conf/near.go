package conf

// maxComparedRunes limits the characters of a text that are compared to find a suggestion.
const maxComparedRunes = 64

// nearest returns the name with the smallest edit distance to text. It returns the first one of equal
// distance, and "" if there are no names.
func nearest(text string, names []string) string {
	best, bestDistance := "", -1
	for _, name := range names {
		if d := distance(text, name); bestDistance < 0 || d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// distance is the Levenshtein distance of the first maxComparedRunes characters of two texts.
func distance(a, b string) int {
	x, y := firstRunes(a), firstRunes(b)
	row := make([]int, len(y)+1)
	for j := range row {
		row[j] = j
	}
	for i, c := range x {
		diagonal := row[0]
		row[0] = i + 1
		for j, d := range y {
			substitution := diagonal
			if c != d {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(y)]
}

func firstRunes(text string) []rune {
	runes := []rune(text[:min(len(text), maxComparedRunes*4)])
	return runes[:min(len(runes), maxComparedRunes)]
}

package conf

// maxCompared bounds the characters that are compared for a suggestion.
const maxCompared = 64

// nearest returns the name with the smallest edit distance to text, the first of several, and ""
// where there are no names.
func nearest(text string, names []string) string {
	best, least := "", -1
	for _, name := range names {
		if d := distance(text, name); least < 0 || d < least {
			best, least = name, d
		}
	}
	return best
}

// distance is the Levenshtein distance of the first maxCompared characters of two texts.
func distance(a, b string) int {
	x, y := head(a), head(b)
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

func head(text string) []rune {
	runes := []rune(text[:min(len(text), maxCompared*4)])
	return runes[:min(len(runes), maxCompared)]
}

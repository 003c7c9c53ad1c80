package declaration

import "fmt"

// suggestion returns ` (did you mean "x"?)` for the candidate nearest to word,
// or "" if none is near.
func suggestion(word string, candidates []string) string {
	if i := nearest(word, candidates); i >= 0 {
		return fmt.Sprintf(" (did you mean %q?)", candidates[i])
	}
	return ""
}

// nearest returns the index of the candidate nearest to word, or -1 if none is
// near enough to be what was meant.
func nearest(word string, candidates []string) int {
	best, bestDistance := -1, 1+max(2, len(word)/3)
	for i, c := range candidates {
		if d := editDistance(word, c); d < bestDistance {
			best, bestDistance = i, d
		}
	}
	return best
}

// editDistance counts the insertions, deletions and replacements that turn a
// into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

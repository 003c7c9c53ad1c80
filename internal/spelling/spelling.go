// Package spelling suggests corrections for misspelled words.
package spelling

import "strings"

// Nearest returns the candidate that word is most likely a misspelling of, or
// an empty string if none is similar enough. Case is ignored.
func Nearest(word string, candidates []string) string {
	best, bestDistance := "", 1+max(2, len(word)/3)
	for _, c := range candidates {
		if d := distance(strings.ToLower(word), strings.ToLower(c)); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b in bytes: the least number
// of insertions, deletions and replacements that turn a into b.
func distance(a, b string) int {
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

package declaration

import (
	"fmt"

	"github.com/cassiasill/cassiasill/internal/spelling"
)

// suggestion returns ` (did you mean "x"?)` for the candidate nearest to word,
// or "" if none is near.
func suggestion(word string, candidates []string) string {
	if right := spelling.Nearest(word, candidates); right != "" {
		return fmt.Sprintf(" (did you mean %q?)", right)
	}
	return ""
}

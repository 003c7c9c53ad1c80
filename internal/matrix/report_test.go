package matrix

import (
	"fmt"
	"strings"
	"time"
)

// render returns the report in Markdown: one row for each fault, one column for
// each step, so that the table is longer than wide.
func render(results map[string][]result) string {
	var out strings.Builder
	out.WriteString("# Fault matrix\n\n" +
		"Written by `go test ./internal/matrix -run TestMatrix -args -report docs/faults.md`.\n\n" +
		"Each fault strikes before, during and right after each step, in a deployment of 5 hosts, 12 servers and a store on a virtual clock, under constant requests and edits. " +
		"A cell passes if G1 to G8 hold and every key is served again within 3 s. " +
		"Numbers in ms: the longest time for which a key had no live owner / for which a caller of an unaffected host waited for a whole answer, resending where it may.\n\n| fault |")
	rule := "\n| --- |"
	for _, s := range steps() {
		out.WriteString(" " + s.name + " |")
		rule += " --- |"
	}
	out.WriteString(rule + "\n")
	passed, failed := 0, 0
	reasons := make(map[string]int)
	var notes []string
	for _, f := range faults() {
		out.WriteString("| " + f.name + " |")
		for _, s := range steps() {
			if why := s.skip[f.name]; why != "" {
				if reasons[why] == 0 {
					notes = append(notes, why)
					reasons[why] = len(notes)
				}
				fmt.Fprintf(&out, " – (%d) |", reasons[why])
				continue
			}
			cell := results[s.name+"/"+f.name]
			if len(cell) == 0 {
				out.WriteString(" not run |")
				continue
			}
			var worst result
			broken := 0
			for _, r := range cell {
				worst.unserved, worst.unanswered = max(worst.unserved, r.unserved), max(worst.unanswered, r.unanswered)
				if len(r.violations) > 0 {
					broken++
				}
			}
			verdict := "pass"
			if broken > 0 {
				verdict = fmt.Sprintf("**fail %d/%d**", broken, len(cell))
			}
			passed, failed = passed+len(cell)-broken, failed+broken
			fmt.Fprintf(&out, " %s %d / %d |", verdict, milliseconds(worst.unserved), milliseconds(worst.unanswered))
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "\n%d runs passed, %d failed.\n\nWithout meaning:\n\n", passed, failed)
	for i, why := range notes {
		fmt.Fprintf(&out, "%d. %s\n", i+1, why)
	}
	return out.String()
}

func milliseconds(d time.Duration) int64 { return d.Round(time.Millisecond).Milliseconds() }

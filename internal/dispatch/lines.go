package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// Names of the lines that do not belong to a server. No server has such an ID.
const (
	// anyServer is the line of requests without a key.
	anyServer = ""
	// noServer is the line of requests whose key has no usable owner.
	noServer = "\x00"
)

// lines holds the requests that wait, one line for each server that owns the
// keys of some. A place that gets free then concerns one line, not all that
// waits in a large service.
type lines struct {
	queues map[string][]*waiting
	size   int
}

func newLines() lines { return lines{queues: make(map[string][]*waiting)} }

// add puts a request at the end of a line and returns the line's name.
func (l *lines) add(name string, w *waiting) string {
	l.queues[name] = append(l.queues[name], w)
	l.size++
	return name
}

// remove forgets a request.
func (l *lines) remove(id uint64) {
	for name, queue := range l.queues {
		left := slices.DeleteFunc(queue, func(w *waiting) bool { return w.ID == id })
		if before := len(queue); len(left) < before {
			l.replace(name, left, before)
			return
		}
	}
}

// replace stores what is left of a line that had the given length. Left uses
// the line's own array.
func (l *lines) replace(name string, left []*waiting, before int) {
	l.size -= before - len(left)
	clear(l.queues[name][len(left):before])
	if len(left) == 0 {
		delete(l.queues, name)
		return
	}
	l.queues[name] = left
}

// arrange moves each request to the line that of names for it now.
func (l *lines) arrange(of func(*waiting) string) {
	var moved []*waiting
	for name, queue := range l.queues {
		left := queue[:0]
		for _, w := range queue {
			if of(w) == name {
				left = append(left, w)
			} else {
				moved = append(moved, w)
			}
		}
		l.replace(name, left, len(queue))
	}
	// The order in which requests leave their lines follows the map's.
	slices.SortFunc(moved, func(a, b *waiting) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range moved {
		l.add(of(w), w)
	}
}

// names returns the lines in a fixed order.
func (l *lines) names() []string { return slices.Sorted(maps.Keys(l.queues)) }

package proxy

import "time"

// crashWindow is the span in which connections count as broken at once.
const crashWindow = 100 * time.Millisecond

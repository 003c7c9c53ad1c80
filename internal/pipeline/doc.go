// Package pipeline lets an HTTP/1.1 server start pipelined requests before their turn.
//
// Conn wraps a caller's connection below net/http. It hands net/http the bytes of one
// request at a time, unchanged and in order, and finds the complete requests that follow
// while one is being served. What is not certainly a well-formed HTTP/1.1 request ends
// reading ahead on the connection; net/http then sees the same bytes and decides.
//
// The reading ahead happens in the background read by which net/http watches the
// connection while a handler runs. A connection that never pipelines therefore has no
// further goroutine, buffer or system call.
package pipeline

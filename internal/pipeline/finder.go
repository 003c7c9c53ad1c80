package pipeline

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxHeadBytes bounds the head of a request that is read ahead, as most
	// configurations do. A longer head ends reading ahead.
	maxHeadBytes = 16 << 10
	// maxLengthDigits keeps a Content-Length well within an int64.
	maxLengthDigits = 15
)

// status is what finder.feed has found.
type status uint8

const (
	// statusMore means that the head is not complete.
	statusMore status = iota
	// statusFound means that the head is complete.
	statusFound
	// statusUnclear means that the bytes are not certainly a well-formed request.
	statusUnclear
)

// finder finds the end of a request's head. It accepts less than net/http does: every
// head that it accepts has the same end and the same body length there.
type finder struct {
	partial []byte // the beginning of a line whose end has not been read
	// short is the memory of partial for usual lines: net/http often reads the first byte
	// of a head by itself.
	short [128]byte
	size  int // bytes of the head so far
	lines int
	head  head
}

// head is what decides about a request's end and about whether it may be started.
type head struct {
	bodyBytes int64
	// mayStart is true for methods of which a request may be started before its turn.
	mayStart bool
	// last is true if the connection is to be closed after the response.
	last                            bool
	hasHost, hasLength, hasConnMode bool
}

// reset prepares the finder for the next request.
func (f *finder) reset() { *f = finder{} }

// feed consumes bytes up to the end of the head and returns how many it has consumed.
// Unless it returns statusFound it consumes all of them.
func (f *finder) feed(p []byte) (int, status) {
	consumed := 0
	for consumed < len(p) {
		end := bytes.IndexByte(p[consumed:], '\n')
		if end < 0 {
			end = len(p) - consumed - 1
		}
		part := p[consumed : consumed+end+1]
		consumed += len(part)
		if f.size += len(part); f.size > maxHeadBytes {
			return len(p), statusUnclear
		}
		if part[len(part)-1] != '\n' {
			if f.partial == nil {
				f.partial = f.short[:0]
			}
			f.partial = append(f.partial, part...)
			return consumed, statusMore
		}
		if len(f.partial) > 0 {
			f.partial = append(f.partial, part...)
			part = f.partial
		}
		s := f.line(part)
		f.partial = f.partial[:0] // part is no longer used
		switch s {
		case statusFound:
			return consumed, statusFound
		case statusUnclear:
			return len(p), statusUnclear
		}
	}
	return consumed, statusMore
}

// line examines one line with its line end.
func (f *finder) line(line []byte) status {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return statusUnclear
	}
	f.lines++
	switch {
	case f.lines == 1:
		ok = f.requestLine(text)
	case len(text) == 0:
		if f.head.hasHost {
			return statusFound
		}
		ok = false
	default:
		ok = f.field(text)
	}
	if !ok {
		return statusUnclear
	}
	return statusMore
}

// requestLine examines the method, the target and the version.
func (f *finder) requestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, []byte{' '})
	if !ok || !containsOnly(method, isUpper) || string(method) == "CONNECT" || string(method) == "PRI" {
		return false
	}
	target, version, ok := bytes.Cut(rest, []byte{' '})
	if !ok || string(version) != "HTTP/1.1" || !containsOnly(target, isVisible) || target[0] != '/' {
		return false
	}
	f.head.mayStart = string(method) == "GET" || string(method) == "HEAD"
	return true
}

// field examines a header field.
func (f *finder) field(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !containsOnly(name, isToken) {
		return false
	}
	value = bytes.Trim(value, " \t")
	if len(value) > 0 && !containsOnly(value, isFieldByte) {
		return false
	}
	switch {
	case equalFold(name, "host"):
		ok = !f.head.hasHost && containsOnly(value, isHostByte)
		f.head.hasHost = true
	case equalFold(name, "content-length"):
		ok = !f.head.hasLength && f.length(value)
		f.head.hasLength = true
	case equalFold(name, "connection"):
		f.head.last = equalFold(value, "close")
		ok = !f.head.hasConnMode && (f.head.last || equalFold(value, "keep-alive"))
		f.head.hasConnMode = true
	case equalFold(name, "transfer-encoding"), equalFold(name, "upgrade"), equalFold(name, "expect"), equalFold(name, "trailer"), equalFold(name, "te"):
		ok = false
	}
	return ok
}

// length takes over the length of the body.
func (f *finder) length(value []byte) bool {
	if len(value) > maxLengthDigits || !containsOnly(value, isDigit) || (len(value) > 1 && value[0] == '0') {
		return false
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	f.head.bodyBytes = n
	return err == nil
}

func equalFold(name []byte, lower string) bool {
	return len(name) == len(lower) && strings.EqualFold(string(name), lower)
}

// containsOnly reports whether the text is not empty and all its bytes belong to the class.
func containsOnly(text []byte, class func(byte) bool) bool {
	for _, b := range text {
		if !class(b) {
			return false
		}
	}
	return len(text) > 0
}

func isUpper(b byte) bool   { return b >= 'A' && b <= 'Z' }
func isDigit(b byte) bool   { return b >= '0' && b <= '9' }
func isVisible(b byte) bool { return b > ' ' && b < 0x7f }
func isAlnum(b byte) bool   { return isUpper(b) || isDigit(b) || (b >= 'a' && b <= 'z') }

// isToken reports whether the byte may be part of a field's name. Names with other
// characters that tokens allow are rare.
func isToken(b byte) bool { return isAlnum(b) || b == '-' || b == '_' }

// isFieldByte reports whether the byte may be part of a field's value.
func isFieldByte(b byte) bool { return b == '\t' || (b >= ' ' && b != 0x7f) }

// isHostByte reports whether the byte may be part of a Host field.
func isHostByte(b byte) bool { return isAlnum(b) || strings.IndexByte(".-_:[]", b) >= 0 }

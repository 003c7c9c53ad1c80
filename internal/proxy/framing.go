package proxy

import (
	"errors"
	"math"

	"github.com/cassiasill/cassiasill/internal/headers"
)

// errTooLong is the error of reading a response that is followed by more bytes
// than its header announced.
var errTooLong = errors.New("the response is longer than announced")

// responseFramer finds the end of a response in the bytes of a connection.
// net/http reuses a connection as soon as it has read the end of a response, and
// takes the bytes that follow for the next response or prints them to the
// standard logger. The framer therefore holds back bytes after the end and
// detects them before the last byte of the response is passed on.
type responseFramer struct {
	state        frameState
	matchedBytes int             // number of bytes of endOfHeader that matched so far
	remaining    int64           // bytes until the end of the body or chunk
	lineLength   int             // length of the current trailer line
	heldBack     bool            // bytes after the header are held back
	tooLong      bool            // more bytes arrived than announced
	scanner      headers.Scanner // of the header
}

type frameState uint8

const (
	frameHeader         frameState = iota // within the header
	frameBodyUnknown                      // after the header, before the body's length is known
	frameFixedBody                        // within a body of known length
	frameChunkSize                        // within the size of a chunk
	frameChunkExtension                   // within the chunk's size line, after the size
	frameChunkData                        // within a chunk or the line end after it
	frameTrailer                          // within the trailer
	frameDone
)

// endOfHeader separates a response's header from its body.
const endOfHeader = "\r\n\r\n"

// setBodyLength sets the length of the body once net/http has parsed the header;
// length is negative for a chunked body.
func (f *responseFramer) setBodyLength(length int64) {
	switch {
	case length < 0:
		f.state = frameChunkSize
	case length == 0:
		f.state, f.tooLong = frameDone, f.tooLong || f.heldBack
	default:
		f.state, f.remaining = frameFixedBody, length
	}
}

// accept returns how many bytes of p may be passed on. It stops at the end of
// the header, because the length of the body is only known once the header has
// been parsed, and fails if bytes follow the end of the body.
func (f *responseFramer) accept(p []byte) (int, error) {
	if f.state == frameHeader {
		return f.acceptHeader(p), nil
	}
	n := f.acceptBody(p)
	if n < len(p) {
		f.tooLong = true
		return 0, errTooLong
	}
	return n, nil
}

func (f *responseFramer) acceptHeader(p []byte) int {
	f.scanner.Scan(p)
	for i, c := range p {
		switch {
		case c == endOfHeader[f.matchedBytes]:
			f.matchedBytes++
		case c == '\r':
			f.matchedBytes = 1
		default:
			f.matchedBytes = 0
		}
		if f.matchedBytes == len(endOfHeader) {
			f.state, f.heldBack = frameBodyUnknown, i+1 < len(p)
			return i + 1
		}
	}
	return len(p)
}

// acceptBody returns how many bytes of p belong to the body.
func (f *responseFramer) acceptBody(p []byte) int {
	i := 0
	for i < len(p) {
		switch f.state {
		case frameFixedBody, frameChunkData:
			n := min(f.remaining, int64(len(p)-i))
			i += int(n)
			if f.remaining -= n; f.remaining > 0 {
				continue
			}
			if f.state == frameFixedBody {
				f.state = frameDone
			} else {
				f.state = frameChunkSize
			}
		case frameChunkSize, frameChunkExtension, frameTrailer:
			f.acceptFraming(p[i])
			i++
		default:
			return i
		}
	}
	return i
}

// acceptFraming processes one byte of a chunk's size line or of the trailer.
// Malformed lines need no checks here because net/http rejects them.
func (f *responseFramer) acceptFraming(c byte) {
	switch {
	case c == '\n' && f.state == frameTrailer:
		if f.lineLength == 0 {
			f.state = frameDone
		}
		f.lineLength = 0
	case c == '\n':
		f.state = frameChunkData
		if f.remaining += 2; f.remaining == 2 { // a line end follows the data
			f.remaining, f.state = 0, frameTrailer
		}
	case f.state == frameTrailer:
		if c != '\r' {
			f.lineLength++
		}
	case f.state == frameChunkSize:
		if digit := hexDigit(c); digit >= 0 && f.remaining < math.MaxInt64>>5 {
			f.remaining = f.remaining<<4 | digit
		} else {
			f.state = frameChunkExtension
		}
	}
}

func hexDigit(c byte) int64 {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10
	}
	return -1
}

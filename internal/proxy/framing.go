package proxy

import (
	"errors"
	"math"
)

// errTooLong ends the reading of an answer after which more bytes follow than
// it announced.
var errTooLong = errors.New("the answer is longer than announced")

// frame finds where an answer ends in the bytes of a connection. net/http uses
// a connection again as soon as it has read an answer's end, and takes what
// follows for the next answer or prints it to the standard logger. So the bytes
// after the end are held back, and seen before the answer's last byte is
// passed on.
type frame struct {
	state frameState
	match int   // bytes seen of endOfHeader
	left  int64 // bytes until the end of the body or chunk
	line  int   // length of the current line of the chunks' framing
	held  bool  // bytes after the header are held back
	long  bool  // more bytes came than announced
}

type frameState uint8

const (
	frameHeader    frameState = iota // within the header
	frameUnknown                     // after the header; the kind of body is not known yet
	frameLength                      // within a body of known length
	frameSize                        // within the line that gives a chunk's size
	frameExtension                   // in the rest of that line
	frameData                        // within a chunk and the line end after it
	frameTrailer                     // within the trailer
	frameDone
)

// endOfHeader separates an answer's header from its body.
const endOfHeader = "\r\n\r\n"

// expect tells the kind of body once the header was understood; length is
// negative for a body in chunks.
func (f *frame) expect(length int64) {
	switch {
	case length < 0:
		f.state = frameSize
	case length == 0:
		f.state, f.long = frameDone, f.long || f.held
	default:
		f.state, f.left = frameLength, length
	}
}

// take returns how many bytes of p may be passed on. It stops at the end of
// the header, because only then the kind of body is found out, and fails if
// bytes follow the end of the body.
func (f *frame) take(p []byte) (int, error) {
	if f.state == frameHeader {
		return f.header(p), nil
	}
	n := f.body(p)
	if n < len(p) {
		f.long = true
		return 0, errTooLong
	}
	return n, nil
}

func (f *frame) header(p []byte) int {
	for i, c := range p {
		switch {
		case c == endOfHeader[f.match]:
			f.match++
		case c == '\r':
			f.match = 1
		default:
			f.match = 0
		}
		if f.match == len(endOfHeader) {
			f.state, f.held = frameUnknown, i+1 < len(p)
			return i + 1
		}
	}
	return len(p)
}

// body returns how many bytes of p belong to the body.
func (f *frame) body(p []byte) int {
	i := 0
	for i < len(p) {
		switch f.state {
		case frameLength, frameData:
			n := min(f.left, int64(len(p)-i))
			i += int(n)
			if f.left -= n; f.left > 0 {
				continue
			}
			if f.state == frameLength {
				f.state = frameDone
			} else {
				f.state = frameSize
			}
		case frameSize, frameExtension, frameTrailer:
			f.framing(p[i])
			i++
		default:
			return i
		}
	}
	return i
}

// framing follows one byte of a chunk's size line or of the trailer. Malformed
// lines need no care here: net/http refuses them.
func (f *frame) framing(c byte) {
	switch {
	case c == '\n' && f.state == frameTrailer:
		if f.line == 0 {
			f.state = frameDone
		}
		f.line = 0
	case c == '\n':
		f.state = frameData
		if f.left += 2; f.left == 2 { // a line end follows the data
			f.left, f.state = 0, frameTrailer
		}
	case f.state == frameTrailer:
		if c != '\r' {
			f.line++
		}
	case f.state == frameSize:
		if digit := hexDigit(c); digit >= 0 && f.left < math.MaxInt64>>5 {
			f.left = f.left<<4 | digit
		} else {
			f.state = frameExtension
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

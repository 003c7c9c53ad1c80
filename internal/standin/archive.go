package standin

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Archive is a generated file whose content depends only on its path and size,
// so that every server serves the same bytes under the same strong ETag.
type Archive struct {
	seed   uint64
	size   int64
	offset int64
}

// NewArchive returns the file of size bytes at path.
func NewArchive(path string, size int64) *Archive {
	return &Archive{seed: xxhash.Sum64String(path), size: size}
}

// ETag returns the file's strong entity tag.
func (a *Archive) ETag() string { return fmt.Sprintf(`"%016x-%d"`, a.seed, a.size) }

// Read implements io.Reader.
func (a *Archive) Read(p []byte) (int, error) {
	if a.offset >= a.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), a.size-a.offset))
	var word [8]byte
	for i := 0; i < n; {
		at := a.offset + int64(i)
		binary.LittleEndian.PutUint64(word[:], mix(a.seed+uint64(at/8)))
		i += copy(p[i:n], word[at%8:])
	}
	a.offset += int64(n)
	return n, nil
}

// Seek implements io.Seeker.
func (a *Archive) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += a.offset
	case io.SeekEnd:
		offset += a.size
	}
	if offset < 0 {
		return 0, errors.New("seek before the start")
	}
	a.offset = offset
	return offset, nil
}

// mix is the output function of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *Server) isArchive(r *http.Request) bool {
	return s.options.ArchiveBytes > 0 && strings.Contains(r.URL.Path, "/archive") &&
		(r.Method == http.MethodGet || r.Method == http.MethodHead)
}

// serveArchive sends the file or a byte range of it. The transfer pauses while
// the server is frozen and aborts when the server crashes.
func (s *Server) serveArchive(w http.ResponseWriter, r *http.Request, in *instance) {
	archive := NewArchive(r.URL.Path, s.options.ArchiveBytes)
	w.Header().Set("ETag", archive.ETag())
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, &gatedArchive{archive, s, in})
}

// gatedArchive is an Archive whose reads block while the server is frozen and
// abort the connection after a crash.
type gatedArchive struct {
	*Archive
	server   *Server
	instance *instance
}

func (g *gatedArchive) Read(p []byte) (int, error) {
	g.server.mustLockUnfrozen(g.instance)
	g.server.mu.Unlock()
	return g.Archive.Read(p)
}

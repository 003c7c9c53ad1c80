// Package credentials reads keys, certificates and tokens from files and reads
// them again when the files change, without a restart.
package credentials

import (
	"os"
	"slices"
	"sync"

	"go.uber.org/zap"
)

// Reloaded is a value parsed from files that is parsed again when they change.
type Reloaded[T any] struct {
	log   *zap.Logger
	files []string
	parse func(data [][]byte) (T, error)

	mu    sync.Mutex
	last  [][]byte
	value T
	ok    bool
}

// NewReloaded returns a value that is read at the first Get.
func NewReloaded[T any](log *zap.Logger, files []string, parse func(data [][]byte) (T, error)) *Reloaded[T] {
	return &Reloaded[T]{log: log, files: files, parse: parse}
}

// Get returns the value of the files as they are now. While they cannot be read
// or parsed, for instance halfway through a replacement, the last good value
// stays.
func (r *Reloaded[T]) Get() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := r.read()
	if err == nil && r.ok && slices.EqualFunc(data, r.last, slices.Equal[[]byte]) {
		return r.value, nil
	}
	var value T
	if err == nil {
		value, err = r.parse(data)
	}
	switch {
	case err == nil:
		if r.ok {
			r.log.Info("credentials: reloaded", zap.Strings("files", r.files))
		}
		r.value, r.last, r.ok = value, data, true
	case r.ok:
		r.log.Error("credentials: cannot reload, keeping the old ones", zap.Error(err))
		err = nil
	}
	return r.value, err
}

func (r *Reloaded[T]) read() ([][]byte, error) {
	var out [][]byte
	for _, name := range r.files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

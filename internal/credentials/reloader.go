// Package credentials loads keys, certificates and tokens from files and reloads
// them without a restart when the files change.
package credentials

import (
	"os"
	"slices"
	"sync"

	"go.uber.org/zap"
)

// Reloader holds a value that is parsed from files, and parsed again when they
// change.
type Reloader[T any] struct {
	log   *zap.Logger
	files []string
	parse func(data [][]byte) (T, error)

	mu       sync.Mutex
	lastData [][]byte
	value    T
	loaded   bool
}

// NewReloader returns a value that is read from the files at the first Get.
func NewReloader[T any](log *zap.Logger, files []string, parse func(data [][]byte) (T, error)) *Reloader[T] {
	return &Reloader[T]{log: log, files: files, parse: parse}
}

// Get reads the files and returns their value. If they cannot be read or parsed,
// for instance because they are being replaced, Get returns the last valid value.
func (r *Reloader[T]) Get() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := r.readFiles()
	if err == nil && r.loaded && slices.EqualFunc(data, r.lastData, slices.Equal[[]byte]) {
		return r.value, nil
	}
	var value T
	if err == nil {
		value, err = r.parse(data)
	}
	switch {
	case err == nil:
		if r.loaded {
			r.log.Info("credentials: reloaded", zap.Strings("files", r.files))
		}
		r.value, r.lastData, r.loaded = value, data, true
	case r.loaded:
		r.log.Error("credentials: cannot reload; keeping the last valid ones", zap.Error(err))
		err = nil
	}
	return r.value, err
}

func (r *Reloader[T]) readFiles() ([][]byte, error) {
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

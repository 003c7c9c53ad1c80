//go:build deps

// Package deps pins the libraries that the design page names until each is imported.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)

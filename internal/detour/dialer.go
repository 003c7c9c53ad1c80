package detour

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/headers"
)

const (
	// probeInterval is how often a host that is cut off tries to reach a server
	// directly.
	probeInterval = 300 * time.Millisecond
	// peerTimeout bounds the opening of a connection by way of one peer, which may
	// take exchange.DialTimeout to reach the server.
	peerTimeout = exchange.DialTimeout + 100*time.Millisecond
	// maxPeerAttempts is how many peers are asked for one connection.
	maxPeerAttempts = 3
	// peerRetryAfter is how long a peer that failed or stops is not asked again.
	peerRetryAfter = time.Second
)

// ErrNoPath reports that neither this host nor any peer reaches the servers.
var ErrNoPath = errors.New("no host that reaches the servers is known")

// Dialer opens connections to servers.
type Dialer struct {
	tracker *Tracker
	direct  exchange.DialFunc
	// peers returns the peer addresses of other hosts.
	peers func() []string
	// onDetour is called for each connection that a peer has opened.
	onDetour func()
	group    conc.WaitGroup

	mu         sync.Mutex
	probing    bool
	lastProbe  time.Time
	avoidUntil map[string]time.Time // by peer
}

// NewDialer returns a Dialer that dials servers and peers with direct.
func NewDialer(tracker *Tracker, direct exchange.DialFunc, peers func() []string, onDetour func()) *Dialer {
	return &Dialer{tracker: tracker, direct: direct, peers: peers, onDetour: onDetour, avoidUntil: make(map[string]time.Time)}
}

// Observe returns a dial function that records whether servers are reached.
func (t *Tracker) Observe(dial exchange.DialFunc) exchange.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		switch {
		case err == nil:
			t.RecordSuccess(time.Now())
		case !errors.Is(ctx.Err(), context.Canceled):
			t.RecordFailure(address, time.Now())
		}
		return c, err
	}
}

// Dial opens a connection to a server, by way of a peer while this host is cut off
// or if the server has refused the connection. A refusal comes from this host's path
// if a peer is not refused.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.tracker.IsCut() {
		c, err := d.tracker.Observe(d.direct)(ctx, network, address)
		if err == nil || ctx.Err() != nil {
			return c, err
		}
		if !d.tracker.IsCut() {
			if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
				return nil, err
			}
			if c, peerErr := d.dialThroughPeers(ctx, network, address); peerErr == nil {
				return c, nil
			}
			return nil, err
		}
	}
	d.probe(network, address)
	return d.dialThroughPeers(ctx, network, address)
}

// probe tries in the background to reach the server directly, unless the last try
// was less than probeInterval ago.
func (d *Dialer) probe(network, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing || time.Since(d.lastProbe) < probeInterval {
		return
	}
	d.probing, d.lastProbe = true, time.Now()
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchange.DialTimeout)
		defer cancel()
		if c, err := d.tracker.Observe(d.direct)(ctx, network, address); err == nil {
			_ = c.Close() // unused
		}
		d.mu.Lock()
		d.probing = false
		d.mu.Unlock()
	})
}

// Wait waits for the end of a probe.
func (d *Dialer) Wait() { d.group.Wait() }

// dialThroughPeers asks peers in random order, so that they share the load. Those that are
// stopping do not count as attempts: many hosts may be restarted at the same time.
func (d *Dialer) dialThroughPeers(ctx context.Context, network, address string) (net.Conn, error) {
	attempts := 0
	for _, peer := range d.usablePeers() {
		c, peerErr := d.dialThroughPeer(ctx, network, peer, address)
		if peerErr == nil {
			d.onDetour()
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var refused *refusedError
		isRefused := errors.As(peerErr, &refused)
		if isRefused && !refused.cutOff {
			// The peer reaches other servers; this one may be gone.
			return nil, &net.OpError{Op: "dial", Net: network, Err: peerErr}
		}
		d.avoid(peer)
		if isRefused && refused.stopping {
			continue
		}
		if attempts++; attempts == maxPeerAttempts {
			break
		}
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: ErrNoPath}
}

// avoid keeps a peer from being asked for some time.
func (d *Dialer) avoid(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidUntil[peer] = time.Now().Add(peerRetryAfter)
}

// usablePeers returns the peers that have not failed recently.
func (d *Dialer) usablePeers() []string {
	all := d.peers()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := make([]string, 0, len(all))
	for _, i := range rand.Perm(len(all)) {
		if d.avoidUntil[all[i]].Before(now) {
			usable = append(usable, all[i])
		}
	}
	return usable
}

// refusedError reports that a peer did not open the connection.
type refusedError struct {
	status int
	// cutOff is true if the peer opens no connections at present: it is cut off from all
	// servers itself, has no room, or stops.
	cutOff bool
	// stopping is true if the peer stops.
	stopping bool
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("the peer answered with status %d", e.status)
}

// dialThroughPeer opens a connection to a server through one peer.
func (d *Dialer) dialThroughPeer(ctx context.Context, network, peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, err := d.direct(ctx, network, peer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	framing, err := requestDetour(c, peer, address)
	if err != nil {
		stop()
		_ = c.Close() // unused
		return nil, err
	}
	if !stop() {
		_ = c.Close() // its deadline has passed
		return nil, ctx.Err()
	}
	switch framing {
	case framesFraming:
		return newFramedConn(c, func() { d.avoid(peer) }), nil
	case chunkedFraming:
		return newChunkedConn(c), nil
	default:
		return &unframedConn{c}, nil
	}
}

// requestDetour asks the peer at the other end to connect to a server. After it has
// returned nil, the connection carries the bytes of that server in the framing that it
// returns.
func requestDetour(c net.Conn, peer, address string) (framing string, err error) {
	request := &http.Request{Method: http.MethodGet, Host: peer, URL: &url.URL{Path: Path, RawQuery: url.Values{serverParameter: {address}}.Encode()},
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}, framingHeader: {chunkedFraming, framesFraming}}} // older builds look at the first
	if err := request.Write(c); err != nil {
		return "", err
	}
	// The head alone is read; whoever has the address may send one without end.
	reader := bufio.NewReader(io.LimitReader(c, exchange.MaxHeaderBytes))
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if err := headers.CheckNames(response.Header); err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return "", &refusedError{status: response.StatusCode, cutOff: response.StatusCode == http.StatusServiceUnavailable,
			stopping: response.Header.Get(stoppingHeader) != ""}
	}
	if reader.Buffered() > 0 {
		return "", errors.New("the server sent bytes before any request")
	}
	return response.Header.Get(framingHeader), nil
}

package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hostProcessVariable makes TestHostProcess run a host.
const hostProcessVariable = "CASSIASILL_TEST_HOST"

// streamedBytes is more than a host buffers of a response without a length.
const streamedBytes = 1 << 20

// TestHostProcess is no test: it is the host of TestKilledHostIsNotTheEndOfABody, in a
// process of its own. Its server sends streamedBytes and then stalls or ends.
func TestHostProcess(t *testing.T) {
	mode := os.Getenv(hostProcessVariable)
	if mode == "" {
		t.Skip("run by another test")
	}
	p := newTestHostWith(t, testHostOptions{timeout: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, strings.Repeat("x", streamedBytes))
		if mode == "stall" {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	})
	fmt.Println(strings.TrimPrefix(p.url, "http://"))
	_, _ = io.Copy(io.Discard, os.Stdin) // ends with the test
}

// startHostProcess returns the address and the process of a host.
func startHostProcess(t *testing.T, mode string) (string, *os.Process) {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run=^TestHostProcess$")
	command.Env = append(os.Environ(), hostProcessVariable+"="+mode)
	stdin, err := command.StdinPipe()
	assert.NilError(t, err)
	stdout, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSpace(line), command.Process
}

// Guards against half of a body that looks complete to the caller because the host was
// killed: an HTTP/1.0 caller must see a reset, another one no last chunk.
func TestKilledHostIsNotTheEndOfABody(t *testing.T) {
	for _, c := range []struct{ version, connection string }{{"1.0", ""}, {"1.0", "keep-alive"}, {"1.1", ""}, {"1.1", "close"}} {
		for _, killed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s %s killed=%t", c.version, c.connection, killed), func(t *testing.T) {
				mode := "end"
				if killed {
					mode = "stall"
				}
				address, process := startHostProcess(t, mode)
				conn, err := net.Dial("tcp", address)
				assert.NilError(t, err)
				defer conn.Close()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
				_, err = fmt.Fprintf(conn, "GET /safe/x HTTP/%s\r\nHost: a.example\r\nX-Id: id-1\r\nConnection: %s\r\n\r\n", c.version, c.connection)
				assert.NilError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				n, err := io.CopyN(io.Discard, response.Body, streamedBytes*3/4)
				assert.NilError(t, err)
				if killed {
					assert.NilError(t, process.Kill())
				}
				rest, err := io.Copy(io.Discard, response.Body)
				switch {
				case !killed:
					assert.NilError(t, err)
					assert.Equal(t, n+rest, int64(streamedBytes))
				case c.version == "1.0":
					assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
				default:
					assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET), "%v", err)
				}
			})
		}
	}
}

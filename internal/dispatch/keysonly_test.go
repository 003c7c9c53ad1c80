package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests without a key for a server that only gets those for its keys,
// also if they were queued before, and against estimates for the other servers that
// count it in.
func TestKeysOnlyServerGetsNoOtherRequests(t *testing.T) {
	keysOnly, other := Server{ID: "a", Zone: "z", Slots: 1, Speed: 1.6}, Server{ID: "b", Zone: "z", Slots: 1, Speed: 1}
	sched := testScheduler(keysOnly, other)
	sched.Submit(0, newRequest(1, 0))
	sched.Submit(0, newRequest(2, 0))
	assert.Equal(t, len(sched.Submit(0, newRequest(3, 0))), 0)
	keysOnly.KeysOnly = true
	sched.SetServers(1*ms, []Server{keysOnly, other})
	assert.Equal(t, sched.takeSnapshot(1*ms).meanSpeed, testScheduler(other).takeSnapshot(1*ms).meanSpeed)
	assert.Equal(t, len(sched.Complete(10*ms, 1, Result{})), 0, "the request queued before went to the server")
	assert.Equal(t, onlyDecision(t, sched.Complete(20*ms, 2, Result{})).Server, "b")
	sched.ownerAt = func(int) OwnerState { return OwnerState{Server: "a"} }
	keyed := newRequest(4, 20*ms)
	keyed.Position = 7
	assert.Equal(t, onlyDecision(t, sched.Submit(20*ms, keyed)).Server, "a")
	other.KeysOnly = true
	sched.SetServers(30*ms, []Server{keysOnly, other})
	assert.Equal(t, onlyDecision(t, sched.Submit(30*ms, newRequest(5, 30*ms))).Reason, ReasonNoServer)
}

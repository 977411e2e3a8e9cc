package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check that reports only the first of several wrong settings.
func TestCheckListsEveryFault(t *testing.T) {
	s := Settings{
		Name: "bad name", Listen: "localhost:80", AdminListen: "127.0.0.1:1", PeerListen: "127.0.0.1:1", PeerAdvertise: "mu-1",
		OperatorKey: "short", PeerSecret: "long enough secret", TLSCert: "/does/not/exist",
		DrainTimeout: time.Second, LeaseDuration: time.Minute, AddressTTL: time.Second,
	}
	err := s.Check()
	faults, ok := err.(SettingsError)
	assert.Assert(t, ok)
	assert.Equal(t, len(faults), 9, err.Error())
}

// Guards against valid settings being refused.
func TestCheckAcceptsValidSettings(t *testing.T) {
	s := Settings{
		Name: "node1", AvailabilityZone: "a", Store: "127.0.0.1:1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		PeerListen: "127.0.0.1:0", OperatorKey: "operator key 1", PeerSecret: "long enough secret",
		DrainTimeout: time.Second, LeaseDuration: time.Minute, AddressTTL: time.Second,
	}
	assert.NilError(t, s.Check())
}

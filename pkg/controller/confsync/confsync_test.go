package confsync_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/controller/confsync"
)

// TestApplyTakesEffect guards against an accepted change that never comes into force on the node that accepted it.
func TestApplyTakesEffect(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	board := blackboard.New()
	client := peer.NewClient(peer.ClientOptions{Self: "a", Resolve: func(string) (string, bool) { return "", false }})
	c := confsync.New(memstore.New(), board, client, "a")
	go c.Run(ctx)
	<-c.Ready()
	change := config.Change{Register: &api.Register{Institutions: []api.Institution{{Name: "board"}}}, Key: "k"}
	version, err := c.Apply(ctx, change)
	assert.NilError(t, err)
	assert.Equal(t, version, int64(1))
	assert.Equal(t, board.Config.Value().Version, int64(1))
	again, err := c.Apply(ctx, change)
	assert.NilError(t, err)
	assert.Equal(t, again, version)
	_, err = c.Apply(ctx, config.Change{Rules: &api.Rules{}, Key: "k"})
	var reuse *config.KeyReuseError
	assert.Assert(t, errors.As(err, &reuse), "%v", err)
}

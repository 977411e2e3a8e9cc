package serving

import (
	"context"
	"slices"

	"trefoilplank.example/api"
)

// Identity is the authenticated caller of an HTTP request.
type Identity struct {
	Institution string
	Caller      string
	Grants      api.Grants
}

// MayUseModel reports whether the caller may use the model or adapter.
func (i Identity) MayUseModel(name string) bool { return slices.Contains(i.Grants.Models, name) }

// MayUseService reports whether the caller may use a service that runs no model.
func (i Identity) MayUseService(name string) bool { return slices.Contains(i.Grants.Services, name) }

type contextKey int

const (
	identityKey contextKey = iota
	requestIDKey
)

// WithIdentity returns a context that carries the caller's identity; the gateway sets it before it calls a mounted
// handler.
func WithIdentity(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, identityKey, i)
}

// IdentityFrom returns the caller's identity, or false if the context carries none.
func IdentityFrom(ctx context.Context) (Identity, bool) {
	i, ok := ctx.Value(identityKey).(Identity)
	return i, ok
}

// WithRequestID returns a context that carries the request ID.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey, id)
}

// RequestIDFrom returns the request ID, or "" if the context carries none.
func RequestIDFrom(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey).(string)
	return id
}

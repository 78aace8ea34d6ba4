// Package fleet carries messages between hosts over net/rpc.
package fleet

import (
	"context"
	"errors"

	"github.com/peridotreel/peridotreel/internal/core"
)

// WireVersion is the newest form of messages that this binary reads. A new
// form is written only once every live host reads it.
const WireVersion = 1

// ErrUnreachable means that a call to a peer gave no answer in time. The peer
// may have handled it.
var ErrUnreachable = errors.New("the peer gave no answer; try another host")

// Caller calls methods of peers. Errors returned by the peer's handler are
// rpc.ServerError; all others are or wrap ErrUnreachable.
type Caller interface {
	Call(ctx context.Context, peer core.Peer, method string, args, reply any) error
}

// Registrar registers receivers whose exported methods peers may call, as
// described in package net/rpc. Handlers run in goroutines of their own and
// hand the message to the task that owns the state.
type Registrar interface {
	RegisterName(name string, receiver any) error
}

// Package peerrpc carries calls between hosts over net/rpc.
package peerrpc

import (
	"context"
	"errors"

	"github.com/peridotreel/peridotreel/internal/core"
)

// WireVersion is the newest version of the message format that this binary
// reads. A newer format is sent only once every live host can read it.
const WireVersion = 1

// ErrUnreachable means that a call to a peer got no reply. The peer may still
// have executed it.
var ErrUnreachable = errors.New("the peer gave no answer; try another host")

// Caller calls methods of peers. Errors returned by the peer's handler are of
// type rpc.ServerError; all others wrap ErrUnreachable.
type Caller interface {
	Call(ctx context.Context, peer core.Peer, method string, args, reply any) error
}

// Registrar registers receivers whose exported methods peers may call, as
// described in package net/rpc. The methods run in goroutines of their own and
// pass the call to the task that owns the state.
type Registrar interface {
	RegisterName(name string, receiver any) error
}

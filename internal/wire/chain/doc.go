// Package chain runs one model request over a chain of engines: each layer
// once per token, in order, through deaths of stages and replans.
//
// It imports base/frame, base/spec, route/domain and wire/engine. Package
// entry starts a Run per request; the routing logic decides every chain.
//
// A Run keeps, for each layer boundary, the inputs of the stage that begins
// there. A stage is behind if it has run fewer positions than its boundary
// has inputs. One loop brings stages up to date in order; prefill, decoding
// and the rebuild of a lost stage are the same loop. docs/notes/chains.md
// weighs the design.
package chain

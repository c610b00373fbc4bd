// Package chain runs one model request over a chain of engines. Every layer
// runs once per token and in order, even if stages fail or the chain is
// replanned.
//
// It imports base/frame, base/spec, route/domain and wire/engine. Package
// entry starts a run for each request; the routing logic chooses every chain.
//
// For each layer boundary, a run keeps the inputs of the stage that begins
// there. A stage is behind if it has run fewer positions than its boundary has
// inputs. A single loop brings the stages up to date in order; prefill,
// decoding and the rebuild of a lost stage all use this loop.
// docs/notes/chains.md discusses the design.
package chain

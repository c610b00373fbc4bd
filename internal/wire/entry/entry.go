// Package entry serves callers: chat completions and calls of plain services.
//
// It imports base/spec, wire/chain and state/ledger. The daemon mounts its
// Handler. Sizes and names from outside are checked here and nowhere later.
package entry

import (
	"context"
	"net/http"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/wire/chain"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

// Models runs model requests.
type Models interface {
	Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error)
}

// Calls runs calls of plain services at most once.
type Calls interface {
	Do(ctx context.Context, c ledger.Call) (ledger.Outcome, error)
	Look(ctx context.Context, team spec.TeamID, class spec.ClassName, key string) (ledger.Outcome, error)
}

// Book gives the classes and teams in force.
type Book interface {
	Class(name spec.ClassName) (spec.Class, bool)
	ClassOf(model spec.ModelName) (spec.Class, bool)
	Team(key string) (spec.Team, bool)
}

// Limits bound what one caller may send.
type Limits struct {
	// Body is in bytes.
	Body int64
	// Tokens is the most tokens of one answer.
	Tokens int
}

// Server serves callers. Set the exported fields before Handler.
type Server struct {
	Models Models
	Calls  Calls
	Book   Book
	Limits Limits
	Log    *zap.Logger
}

// Handler serves the callers' endpoints.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	r.HandleFunc("/v1/calls/{class}", s.call).Methods(http.MethodPost)
	r.HandleFunc("/v1/calls/{class}/{key}", s.outcome).Methods(http.MethodGet)
	return r
}

package chain

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

const (
	// defaultJournal bounds the hidden inputs kept of one request, in bytes.
	defaultJournal = 4 << 20
	// defaultChunk bounds the hidden inputs of one step, in bytes.
	defaultChunk = 1 << 20
	// defaultPositions bounds the positions of one step.
	defaultPositions = 256
	// defaultStepTimeout is how long a step may take unless the logic says.
	defaultStepTimeout = 30 * time.Second
	// progressEvery is the least time between two Progress events.
	progressEvery = time.Second
)

// Runner runs jobs. Set the exported fields before Run.
type Runner struct {
	Engines Opener
	Router  Router
	// KV moves caches between engines that live; nil replays always.
	KV Mover
	// Journal bounds the bytes of hidden inputs that are kept of one request
	// to rebuild a lost stage alone; zero takes 4 MiB. Beyond it a lost stage
	// costs the run of all stages before it from the tokens.
	Journal int
	// Chunk bounds the hidden inputs of one step in bytes, so that a rebuild
	// does not hold up the other streams of a connection; zero takes 1 MiB.
	Chunk int
	// Positions bounds the positions of the prompt, or of tokens run again, in
	// one step, so that their hidden values fit a reply; zero takes 256.
	Positions int
	// Meters takes the counters; nil makes a private set.
	Meters *metrics.Set

	once   sync.Once
	meters *meters
	nonce  string
	runs   atomic.Uint64
}

func (r *Runner) init() {
	r.once.Do(func() {
		r.meters = newMeters(r.Meters)
		r.nonce = uuid.NewString()
		if r.Journal <= 0 {
			r.Journal = defaultJournal
		}
		if r.Chunk <= 0 {
			r.Chunk = defaultChunk
		}
		if r.Positions <= 0 {
			r.Positions = defaultPositions
		}
	})
}

// run is the state of one job.
type run struct {
	*Runner
	job Job
	// reqID is the request's name towards engines. It differs for each run of
	// the same request: after a resume at another instance both may be alive
	// for a while, and their steps must not meet in one state.
	reqID    string
	sink     Sink
	commands <-chan domain.Command
	attempt  uint32
	rebuilds uint32
	depth    int
	prio     int
	// stepTimeout is for a step of one token, prefill for the first of a state.
	stepTimeout    time.Duration
	prefillTimeout time.Duration
	stages         []*stage
	inputs         inputs
	reply          frame.Reply
	stop           bool
	start          time.Time
	firstToken     time.Duration
	lastToken      time.Time
	lastProgress   time.Time
	longestGap     time.Duration
}

// Run brings the whole answer to sink, or returns why that cannot be:
// *RefusedError, *ForwardError, the sink's error, or the context's.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	r.init()
	id := job.Arrived.Request
	now := time.Now()
	j := &run{
		Runner: r, job: job, sink: sink, commands: r.Router.Watch(id), start: now, lastProgress: now,
		reqID:  string(id) + "~" + r.nonce + "-" + strconv.FormatUint(r.runs.Add(1), 10),
		inputs: inputs{limit: r.Journal},
	}
	defer r.Router.Unwatch(id)
	defer j.closeAll()
	r.Router.Post(job.Arrived)
	err := j.runLoop(ctx)
	j.report(ctx, err)
	return Result{Tokens: j.count(), Stop: j.stop}, err
}

// count is how many tokens the caller got.
func (j *run) count() int { return len(j.inputs.tokens) }

func (j *run) report(ctx context.Context, err error) {
	id := j.job.Arrived.Request
	if ctx.Err() != nil {
		j.Router.Post(domain.RequestCanceled{Request: id})
		return
	}
	j.Router.Post(domain.RequestFinished{
		Request: id, Tokens: j.count(), FirstToken: j.firstToken, LongestGap: j.longestGap,
		TotalTime: time.Since(j.start), OK: err == nil,
	})
}

func (j *run) runLoop(ctx context.Context) error {
	if err := j.awaitDecision(ctx); err != nil {
		return err
	}
	for !j.ended() {
		err := j.advance(ctx)
		var lost *stageLostError
		switch {
		case err == nil, errors.Is(err, errStageReset):
			continue
		case !errors.As(err, &lost):
			return err
		}
		j.Router.Post(domain.StageLost{
			Request: j.job.Arrived.Request, Attempt: j.attempt,
			Engine: lost.engine, Cause: lost.cause, Tokens: j.count(),
		})
		if err := j.awaitDecision(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (j *run) ended() bool {
	return j.stop || j.count() >= j.job.Arrived.MaxTokens
}

// awaitDecision takes the next decision and sets the stages to it.
func (j *run) awaitDecision(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "chain: wait for a decision")
		case c := <-j.commands:
			switch c := c.(type) {
			case domain.Refuse:
				return &RefusedError{Reason: c.Reason, After: c.RetryAfter, Ran: c.Ran}
			case domain.Forward:
				return &ForwardError{To: c.To}
			case domain.Start:
				if c.Attempt > j.attempt {
					return j.adopt(ctx, c)
				}
			default:
				return errors.Errorf("chain: unexpected command %T", c)
			}
		}
	}
}

// advance brings each stage nearer to its boundary by a step. All steps that
// can run are sent before the first reply is waited for: the parts of a long
// prompt or rebuild so run on all stages at once, each a part behind the one
// before.
func (j *run) advance(ctx context.Context) error {
	if len(j.stages) == 1 {
		return j.stream(ctx, j.stages[0])
	}
	for _, s := range j.stages {
		if j.prepare(s) {
			j.startStep(ctx, s)
		}
	}
	moved := false
	for _, s := range j.stages {
		if !s.pending {
			continue
		}
		moved = true
		if err := j.awaitReply(ctx, s); err != nil {
			return err
		}
		if err := j.applyReply(s); err != nil {
			return err
		}
	}
	if !moved {
		// Inputs that nobody keeps and nobody makes would have the loop spin
		// on a core while the caller waits.
		return errNoProgress
	}
	return nil
}

// deliver hands the next token to the caller.
func (j *run) deliver(token uint32, text string) error {
	index := j.count()
	j.inputs.tokens = append(j.inputs.tokens, token)
	j.meters.tokens.Inc()
	j.recordTime()
	return j.sink(Token{Index: index, Text: text})
}

func (j *run) recordTime() {
	now := time.Now()
	if j.firstToken == 0 {
		j.firstToken = now.Sub(j.start)
	} else {
		j.longestGap = max(j.longestGap, now.Sub(j.lastToken))
	}
	j.lastToken = now
	if now.Sub(j.lastProgress) >= progressEvery {
		j.lastProgress = now
		j.Router.Post(domain.RequestProgress{Request: j.job.Arrived.Request, Tokens: j.count()})
	}
}

func (j *run) closeAll() {
	for _, s := range j.stages {
		s.close()
	}
}

// newStage is a stage that has run nothing, under a number that no state of
// this run had before.
func (j *run) newStage(is spec.Stage) *stage {
	return &stage{spec: is, try: j.attempt<<rebuildBits | j.rebuilds}
}

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
	// defaultJournal bounds the hidden inputs kept for one request, in bytes.
	defaultJournal = 4 << 20
	// defaultChunk bounds the hidden inputs of one step, in bytes.
	defaultChunk = 1 << 20
	// defaultPositions bounds the positions of one step.
	defaultPositions = 256
	// defaultStepTimeout is how long a step may take if the routing logic sets
	// no timeout.
	defaultStepTimeout = 30 * time.Second
	// progressEvery is the minimum time between two RequestProgress events.
	progressEvery = time.Second
)

// Runner runs jobs. Set the exported fields before the first call of Run.
type Runner struct {
	Engines Opener
	Router  Router
	// KV moves KV caches between engines that are up. If nil, a new stage
	// always replays its inputs.
	KV Mover
	// JournalBytes bounds the hidden inputs kept for one request, in bytes; zero
	// means 4 MiB. They allow a lost stage to be rebuilt alone. Beyond the
	// bound, a lost stage makes all stages before it run again from the
	// tokens.
	JournalBytes int
	// ChunkBytes bounds the hidden inputs of one step, in bytes, so that a rebuild
	// does not block the other streams of a connection; zero means 1 MiB.
	ChunkBytes int
	// StepPositions bounds how many positions of the prompt, or of tokens that run
	// again, are sent in one step, so that their hidden values fit into a
	// reply; zero means 256.
	StepPositions int
	// Meters is the set in which the counters are registered; nil means a
	// private set.
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
		if r.JournalBytes <= 0 {
			r.JournalBytes = defaultJournal
		}
		if r.ChunkBytes <= 0 {
			r.ChunkBytes = defaultChunk
		}
		if r.StepPositions <= 0 {
			r.StepPositions = defaultPositions
		}
	})
}

// run is the state of one job.
type run struct {
	*Runner
	job Job
	// reqID is the request ID sent to engines. It differs for each run of the
	// same request: after a resume on another instance both runs may exist for
	// a while, and their steps must not reach the same state on an engine.
	reqID    string
	sink     Sink
	commands <-chan domain.Command
	attempt  uint32
	rebuilds uint32
	depth    int
	prio     int
	// stepTimeout applies to a step of one token, prefillTimeout to the first
	// step of a state.
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

// Run runs the job and passes the whole answer to sink. If that is not
// possible it returns a *RefusedError, a *ForwardError, the error of sink, or
// the error of the context.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	r.init()
	id := job.Arrived.Request
	now := time.Now()
	j := &run{
		Runner: r, job: job, sink: sink, commands: r.Router.Watch(id), start: now, lastProgress: now,
		reqID:  string(id) + "~" + r.nonce + "-" + strconv.FormatUint(r.runs.Add(1), 10),
		inputs: inputs{limit: r.JournalBytes},
	}
	defer r.Router.Unwatch(id)
	defer j.closeAll()
	r.Router.Post(job.Arrived)
	err := j.runLoop(ctx)
	j.report(ctx, err)
	return Result{Tokens: j.count(), Stop: j.stop}, err
}

// count returns how many tokens were passed to the sink.
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

// awaitDecision waits for the next command of the routing logic and applies
// it.
func (j *run) awaitDecision(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "chain: wait for a routing decision")
		case c := <-j.commands:
			switch c := c.(type) {
			case domain.Refuse:
				return &RefusedError{Reason: c.Reason, RetryAfter: c.RetryAfter, Ran: c.Ran}
			case domain.Forward:
				return &ForwardError{To: c.To}
			case domain.Start:
				if c.Attempt > j.attempt {
					return j.adopt(ctx, c)
				}
			case domain.Wait:
				if c.Attempt == j.attempt {
					j.waitAgain(c)
					return nil
				}
			default:
				return errors.Errorf("chain: unexpected command %T", c)
			}
		}
	}
}

// advance moves every stage that is behind one step towards its boundary. All
// steps that can run are sent before the first reply is awaited. The parts of
// a long prompt or rebuild therefore run on all stages at once, each stage one
// part behind the stage before it.
func (j *run) advance(ctx context.Context) error {
	if len(j.stages) == 1 {
		return j.stream(ctx, j.stages[0])
	}
	for _, s := range j.stages {
		if j.prepare(s) {
			j.startStep(ctx, s)
		}
	}
	progressed := false
	for _, s := range j.stages {
		if !s.pending {
			continue
		}
		progressed = true
		if err := j.awaitReply(ctx, s); err != nil {
			return err
		}
		if err := j.applyReply(s); err != nil {
			return err
		}
	}
	if !progressed {
		// Without this check, inputs that are neither kept nor produced again
		// would make the loop spin on a core while the caller waits.
		return errNoProgress
	}
	return nil
}

// deliver passes the next token to the sink.
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

// newStage returns a stage that has run nothing. Its Try differs from that of
// every earlier state of this run.
func (j *run) newStage(want spec.Stage) *stage {
	return &stage{spec: want, try: j.attempt<<rebuildBits | j.rebuilds}
}

package chain

// inputs keeps what each boundary's stage must run: the tokens for layer 0
// and, for later boundaries, hidden values by position.
//
// The tokens cost four bytes each and are all that a chain of one stage
// keeps. The hidden values are bounded by limit: beyond it only those that
// their stage has yet to run are kept.
type inputs struct {
	tokens []uint32
	// prompt is how many positions the prompt took; known after the first
	// stage's first reply.
	prompt   int
	journals map[int]*journal
	limit    int
	bytes    int
	// overLimit is set once the limit was passed.
	overLimit bool
}

// journal is the hidden values at one boundary from position base on.
type journal struct {
	base   int
	values [][]byte
}

func (l *journal) end() int { return l.base + len(l.values) }

// positions is how many positions exist so far; zero before the prompt ran.
func (in *inputs) positions() int {
	if in.prompt == 0 {
		return 0
	}
	return in.prompt + len(in.tokens)
}

// put stores the hidden values that left the stage before boundary, for the
// positions from pos on. Positions known already are kept as they were.
func (in *inputs) put(boundary, pos int, values [][]byte) {
	if in.journals == nil {
		in.journals = map[int]*journal{}
	}
	l := in.journals[boundary]
	if l == nil {
		l = &journal{base: pos}
		in.journals[boundary] = l
	}
	for i, v := range values {
		if pos+i == l.end() {
			l.values = append(l.values, v)
			in.bytes += len(v)
		}
	}
}

// from returns the values at boundary from position pos on.
func (in *inputs) from(boundary, pos int) [][]byte {
	l := in.journals[boundary]
	if l == nil || pos < l.base || pos >= l.end() {
		return nil
	}
	return l.values[pos-l.base:]
}

// covers reports whether a stage at boundary that has run done positions gets
// all that follow, when the stage before has made the outputs of made ones:
// what is kept must begin early enough and go on without a gap.
func (in *inputs) covers(boundary, done, made int) bool {
	l := in.journals[boundary]
	if l == nil {
		return made <= done
	}
	return l.base <= done && made <= l.end()
}

// release tells that the stage at boundary has run all positions below pos; past
// the limit they are dropped.
func (in *inputs) release(boundary, pos int) {
	if in.bytes > in.limit {
		in.overLimit = true
	}
	l := in.journals[boundary]
	if !in.overLimit || l == nil {
		return
	}
	in.trim(l, pos)
}

func (in *inputs) trim(l *journal, pos int) {
	n := min(pos-l.base, len(l.values))
	if n <= 0 {
		return
	}
	for _, v := range l.values[:n] {
		in.bytes -= len(v)
	}
	l.values = append([][]byte(nil), l.values[n:]...)
	l.base += n
}

// drop forgets a boundary, so that its stage before fills it again.
func (in *inputs) drop(boundary int) {
	if l := in.journals[boundary]; l != nil {
		in.trim(l, l.end())
		delete(in.journals, boundary)
	}
}

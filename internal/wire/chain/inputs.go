package chain

// inputs keeps the inputs of the stage at each layer boundary: the tokens for
// layer 0 and, for later boundaries, the hidden values by position.
//
// The tokens take four bytes each and are all that a chain of one stage keeps.
// The hidden values are bounded by limit: once it is exceeded, only the values
// that their stage has not run yet are kept.
type inputs struct {
	tokens []uint32
	// prompt is the number of positions of the prompt; it is known from the
	// first reply of the first stage.
	prompt   int
	journals map[int]*journal
	limit    int
	bytes    int
	// overLimit is set once the limit was exceeded.
	overLimit bool
}

// journal holds the hidden values at one boundary, starting at position base.
type journal struct {
	base   int
	values [][]byte
}

func (l *journal) end() int { return l.base + len(l.values) }

// positions returns how many positions exist so far. It is zero before the
// prompt has run.
func (in *inputs) positions() int {
	if in.prompt == 0 {
		return 0
	}
	return in.prompt + len(in.tokens)
}

// put stores the hidden values that the stage before boundary produced for the
// positions from pos on. Values of positions that are stored already are kept.
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

// from returns the values at boundary, starting at position pos.
func (in *inputs) from(boundary, pos int) [][]byte {
	l := in.journals[boundary]
	if l == nil || pos < l.base || pos >= l.end() {
		return nil
	}
	return l.values[pos-l.base:]
}

// covers reports whether a stage at boundary that has run done positions can
// get all inputs that follow, if the stage before has produced outputs for
// made positions. For this the stored values must begin early enough and
// continue without a gap.
func (in *inputs) covers(boundary, done, made int) bool {
	l := in.journals[boundary]
	if l == nil {
		return made <= done
	}
	return l.base <= done && made <= l.end()
}

// release marks all positions below pos as run by the stage at boundary. Once
// the limit was exceeded, their values are dropped.
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

// drop discards all values at a boundary, so that the stage before it produces
// them again.
func (in *inputs) drop(boundary int) {
	if l := in.journals[boundary]; l != nil {
		in.trim(l, l.end())
		delete(in.journals, boundary)
	}
}

package chain

// inputs keeps what each boundary's stage must run: the tokens for layer 0
// and, for later boundaries, hidden values by position.
type inputs struct {
	tokens []uint32
	// prompt is how many positions the prompt took; known after the first
	// stage's first reply.
	prompt int
	hidden map[int][][]byte
}

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
	if in.hidden == nil {
		in.hidden = map[int][][]byte{}
	}
	have := in.hidden[boundary]
	for i, v := range values {
		if pos+i == len(have) {
			have = append(have, v)
		}
	}
	in.hidden[boundary] = have
}

// from returns the values at boundary from position pos on.
func (in *inputs) from(boundary, pos int) [][]byte {
	have := in.hidden[boundary]
	if pos >= len(have) {
		return nil
	}
	return have[pos:]
}

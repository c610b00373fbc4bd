package place

//go:generate stringer -type=Goal -linecomment -output=goal_string.go

// Goal is what the placement of a deployment optimizes for.
type Goal int

// The goals.
const (
	// Throughput aims for the most tokens a second. Each layer has at least one
	// holder.
	Throughput Goal = iota // throughput
	// Recovery keeps each layer on at least two engines, so that after the
	// death of one engine a complete chain exists without loading weights.
	Recovery // recovery
)

// minHolders returns how many engines must hold each layer.
func (g Goal) minHolders() int {
	if g == Recovery {
		return 2
	}
	return 1
}

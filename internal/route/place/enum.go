package place

//go:generate stringer -type=Goal -linecomment -output=goal_string.go

// Goal says what a deployment weighs more.
type Goal int

// The goals.
const (
	// Throughput goes for the most tokens a second; each layer is held once
	// at least.
	Throughput Goal = iota // throughput
	// Recovery keeps each layer on two engines at least, so that after one
	// death a whole chain stands without any loading.
	Recovery // recovery
)

// minHolders is how many engines must hold each layer.
func (g Goal) minHolders() int {
	if g == Recovery {
		return 2
	}
	return 1
}

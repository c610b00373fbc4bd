package stage

//go:generate stringer -type=Fault -linecomment -output=fault_string.go

// Fault is what happens to a reply after its step was applied.
type Fault int

// The faults.
const (
	FaultNone   Fault = iota // none
	FaultDrop                // drop
	FaultDouble              // double
	FaultDelay               // delay
	FaultCut                 // cut
)

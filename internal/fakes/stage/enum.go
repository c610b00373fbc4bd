package stage

//go:generate stringer -type=Fault -linecomment -output=fault_string.go

// Fault is an error injected into a reply after its step was applied.
type Fault int

// The faults: the reply is sent as it is, dropped, sent twice or delayed, or
// the connection is closed instead.
const (
	FaultNone   Fault = iota // none
	FaultDrop                // drop
	FaultDouble              // double
	FaultDelay               // delay
	FaultCut                 // cut
)

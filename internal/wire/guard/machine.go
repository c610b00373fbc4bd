package guard

import (
	"runtime/debug"
	"syscall"
)

const (
	// callersShare is the part of the memory that callers may hold, of what is left besides the program. The
	// rest is for the process itself, for the bodies of upstreams and for what the garbage collector has
	// not freed yet.
	callersShare = 4
	// minCallersShare is the least part of the whole memory.
	minCallersShare = 8
	// GCPercent is below the default of 100: the heap stays closer to what is in use, at the cost of
	// processor time.
	GCPercent = 50
	// connsShare is the part of the descriptors for callers: a request that runs needs another one to its
	// upstream, and the store, other instances and the readiness check need some too.
	connsShare = 2
	// fileDescriptors are the descriptors that sockets must leave to files.
	fileDescriptors = 200
	// programBytes is what the program takes outside of its heap: its code, data and threads.
	programBytes = 20 << 20
	// queuedStreams is how many requests net/http keeps for each stream of an HTTP/2 connection that may be
	// open: one that runs, and others whose streams were reset before they ran. Each takes queuedBytes.
	queuedStreams = 5
	queuedBytes   = 6 << 10
	// resettingConns is for how many connections all of these fit into what callers may hold.
	resettingConns = 64
	// minStreams is the least number of open streams of a connection.
	minStreams = 8
	// minConns is the least number of connections of callers.
	minConns = 16
)

// NewMachineAccount returns the account of the callers of a process that may use so many bytes of memory and
// so many descriptors. Zero means what the machine and the system allow.
func NewMachineAccount(memory int64, descriptors int) *Account {
	return NewAccount(CallersBytes(memory), callersConns(descriptors))
}

// CallersBytes returns what the callers of a process may hold that may use so many bytes of memory; zero
// means that of the machine.
func CallersBytes(memory int64) int64 {
	if memory <= 0 {
		memory = machineMemory()
	}
	return max(memory/minCallersShare, (memory-programBytes)/callersShare)
}

// callersConns returns how many connections callers may open.
func callersConns(descriptors int) int {
	if system := maxDescriptors(); descriptors <= 0 || system > 0 && system < descriptors {
		descriptors = system
	}
	if descriptors <= 0 {
		return 0
	}
	return max(minConns, (descriptors-fileDescriptors)/connsShare)
}

// Streams returns how many of at most streams an HTTP/2 connection may have open at once, in a process that
// may use so many bytes of memory; zero means that of the machine.
func Streams(streams int, memory int64) int {
	fitting := CallersBytes(memory) / (resettingConns * queuedStreams * queuedBytes)
	return int(min(int64(streams), max(minStreams, fitting)))
}

// LimitHeap makes the garbage collector keep the heap of a process that may use so many bytes of memory below
// them; zero sets no limit.
func LimitHeap(memory int64) {
	if memory > 0 {
		debug.SetGCPercent(GCPercent)
		debug.SetMemoryLimit(max(memory/4, min(memory/10*8, memory-programBytes)))
	}
}

// machineMemory returns the memory of the machine in bytes; zero if it is not known.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// maxDescriptors returns how many descriptors the process may open; zero if it is not known.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	// The limit may be "infinity", the largest number.
	return int(min(limit.Cur, 1<<30))
}

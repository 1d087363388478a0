package memory

import (
	"math"
	"runtime/debug"
)

// Bytes is an amount of memory.
type Bytes int64

// Megabyte is the unit in which settings give a VM's memory.
const Megabyte Bytes = 1 << 20

const (
	// Shares of the VM's memory. What is left is for the program itself, the kernel, and what the runtime cannot limit.
	runtimeShare    = 0.7 // the Go runtime's memory limit
	bodiesShare     = 0.3 // bodies of requests
	connectionShare = 0.2 // buffers and stacks of callers' connections
	answersShare    = 0.1 // parts of targets' answers
	// Memory of one connection without a body: the stack of its goroutine, the buffers of net/http and of package framing, and a
	// request header of ordinary size.
	connectionBytes = 32 << 10
	// Descriptors that the platform reserves for files.
	fileDescriptors = 200
	// Share of the other descriptors that callers' connections may use. Each request may need one more, to a target.
	callerShare = 0.5
)

// Limits are the limits of a process that follow from those of its VM. A limit of 0 is none.
type Limits struct {
	// Bodies is the size of the budget for the bodies of requests.
	Bodies Bytes
	// Answers is the size of the budget for parts of targets' answers.
	Answers Bytes
	// Runtime is the limit for the Go runtime, which collects garbage more often when it comes close to it.
	Runtime Bytes
	// Connections is the largest number of open connections from callers.
	Connections int
}

// LimitsOf returns the limits of a process on a VM with the memory and the number of file descriptors, each 0 if it is not
// known.
func LimitsOf(vm Bytes, descriptors int) Limits {
	connections := math.MaxInt
	limits := Limits{}
	if vm > 0 {
		limits.Bodies, limits.Runtime = Bytes(float64(vm)*bodiesShare), runtimeOf(vm)
		limits.Answers = Bytes(float64(vm) * answersShare)
		connections = int(float64(vm) * connectionShare / connectionBytes)
	}
	if descriptors > 0 {
		connections = min(connections, int(float64(descriptors-fileDescriptors)*callerShare))
	}
	if connections != math.MaxInt {
		limits.Connections = max(connections, 1)
	}
	return limits
}

// runtimeOf returns the Go runtime's limit in a process that may use the memory.
func runtimeOf(process Bytes) Bytes { return Bytes(float64(process) * runtimeShare) }

// Apply sets the runtime's memory limit and returns the budget for bodies, nil for no limit.
func (l Limits) Apply() *Budget {
	if l.Bodies == 0 {
		return nil
	}
	debug.SetMemoryLimit(int64(l.Runtime))
	return NewBudget(l.Bodies)
}

// AnswerBudget returns the budget for parts of targets' answers, nil for no limit.
func (l Limits) AnswerBudget() *Budget {
	if l.Answers == 0 {
		return nil
	}
	return NewBudget(l.Answers)
}

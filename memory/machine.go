package memory

import (
	"io/fs"
	"math"
	"os"
	"path"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

const (
	// Share of the machine's memory that a process may use if nothing says so, so that two entries fit a machine.
	processShare = 0.5
	// Limits of control groups are below here, of version 2 and of version 1.
	cgroupRoot   = "sys/fs/cgroup"
	cgroupV1Root = "sys/fs/cgroup/memory"
	// From here on, the limit of a group of version 1 is none: the kernel writes the largest multiple of its page size.
	unlimitedGroup Bytes = 1 << 62
)

// runtimeLimit is the limit that GOMEMLIMIT gave the Go runtime; Limits.Apply replaces it.
var runtimeLimit = Bytes(debug.SetMemoryLimit(-1))

// VM is what settings say of an entry's VM: 0 leaves it to the machine, and a negative value is no limit.
type VM struct {
	Memory Bytes
	// Descriptors is how many file descriptors the VM's processes may have open.
	Descriptors int
}

// Machine is what a machine has for its processes, each 0 if it is not known.
type Machine struct {
	// Memory is the machine's or, if less, that of the process's control group.
	Memory Bytes
	// ProcessMemory is what the operator has given this process (GOMEMLIMIT).
	ProcessMemory Bytes
	// Descriptors is how many file descriptors this process may have open.
	Descriptors int
}

// ThisMachine returns what the machine of this process has.
func ThisMachine() Machine {
	machine := Machine{Memory: OfMachine(os.DirFS("/"))}
	if runtimeLimit < math.MaxInt64 {
		machine.ProcessMemory = runtimeLimit
	}
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) == nil {
		machine.Descriptors = int(min(descriptors.Cur, math.MaxInt32))
	}
	return machine
}

// LimitsOf returns the limits of one of the entries that run in this process, on the VM.
func (m Machine) LimitsOf(vm VM, entries int) Limits {
	share := m.processMemory()
	given := vm
	if given.Memory == 0 {
		given.Memory = share / Bytes(entries)
	}
	if given.Descriptors == 0 && m.Descriptors > 0 {
		given.Descriptors = fileDescriptors + max(m.Descriptors-fileDescriptors, 1)/entries
	}
	limits := LimitsOf(max(given.Memory, 0), max(given.Descriptors, 0))
	if vm.Memory == 0 {
		limits.Runtime = runtimeOf(share) // of all entries
	}
	return limits
}

// processMemory returns how much memory the process may use, 0 if it is not known.
func (m Machine) processMemory() Bytes {
	switch {
	case m.ProcessMemory == 0:
		return Bytes(float64(m.Memory) * processShare)
	case m.Memory == 0:
		return m.ProcessMemory
	default:
		return min(m.Memory, m.ProcessMemory)
	}
}

// Unknown returns what the settings leave to the machine and the machine does not tell, so that there is no limit for it.
func (m Machine) Unknown(vm VM) []string {
	var unknown []string
	if vm.Memory == 0 && m.processMemory() == 0 {
		unknown = append(unknown, "memory")
	}
	if vm.Descriptors == 0 && m.Descriptors == 0 {
		unknown = append(unknown, "fileDescriptors")
	}
	return unknown
}

// OfMachine returns the memory of the machine with the files or, if less, the limit of the process's control group, 0 if neither
// can be read.
func OfMachine(files fs.FS) Bytes {
	least := Bytes(math.MaxInt64)
	if total, ok := totalMemory(files); ok {
		least = total
	}
	groups, _ := fs.ReadFile(files, "proc/self/cgroup")
	for line := range strings.Lines(string(groups)) {
		// A line is ID:CONTROLLERS:PATH, without controllers in version 2.
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(fields) < 3 {
			continue
		}
		switch {
		case fields[1] == "":
			least = min(least, groupLimit(files, cgroupRoot, fields[2], "memory.max"))
		case slices.Contains(strings.Split(fields[1], ","), "memory"):
			least = min(least, groupLimit(files, cgroupV1Root, fields[2], "memory.limit_in_bytes"))
		}
	}
	if least >= unlimitedGroup {
		return 0
	}
	return least
}

// totalMemory returns the memory that the kernel manages.
func totalMemory(files fs.FS) (Bytes, bool) {
	content, _ := fs.ReadFile(files, "proc/meminfo")
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "MemTotal:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return Bytes(kilobytes) << 10, err == nil && kilobytes > 0
		}
	}
	return 0, false
}

// groupLimit returns the least limit of the control group and those that contain it, the largest Bytes if there is none. In a
// container the group's path may be that on its host, of which only the root exists there.
func groupLimit(files fs.FS, root, group, name string) Bytes {
	least := Bytes(math.MaxInt64)
	for directory := path.Clean("/" + group); ; directory = path.Dir(directory) {
		content, _ := fs.ReadFile(files, path.Join(root, directory, name))
		limit, err := strconv.ParseInt(strings.TrimSpace(string(content)), 10, 64)
		if err == nil && limit > 0 {
			least = min(least, Bytes(limit))
		}
		if directory == "/" {
			return least
		}
	}
}

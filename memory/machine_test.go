package memory_test

import (
	"testing"
	"testing/fstest"

	"pgregory.net/rapid"

	"lovageshift/memory"
)

const gigabyte = 1024 * memory.Megabyte

// Guards against limits that differ from those of a VM whose settings give them.
func TestSettingsOfTheVMComeBeforeTheMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bytes := rapid.Map(rapid.Int64Range(0, 1<<40), func(n int64) memory.Bytes { return memory.Bytes(n) })
		machine := memory.Machine{
			Memory: bytes.Draw(t, "memory"), ProcessMemory: bytes.Draw(t, "process"), Descriptors: rapid.IntRange(0, 1<<20).Draw(t, "descriptors"),
		}
		vm := memory.VM{Memory: max(bytes.Draw(t, "vm"), 1), Descriptors: rapid.IntRange(1, 1<<20).Draw(t, "vm's descriptors")}
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		if limits := machine.LimitsOf(vm, entries); limits != memory.LimitsOf(vm.Memory, vm.Descriptors) {
			t.Fatalf("%+v", limits)
		}
		if limits := machine.LimitsOf(memory.VM{Memory: -1, Descriptors: -1}, entries); limits != (memory.Limits{}) {
			t.Fatalf("%+v where the settings say none", limits)
		}
	})
}

// Guards against entries without limits on a machine that tells what it has, and against more than it has for all of them.
func TestLimitsFollowFromTheMachine(t *testing.T) {
	half, descriptors := memory.LimitsOf(4*gigabyte, 0), memory.LimitsOf(0, 4096)
	for _, test := range []struct {
		name    string
		machine memory.Machine
		vm      memory.VM
		entries int
		want    memory.Limits
	}{
		{"nothing is known", memory.Machine{}, memory.VM{}, 1, memory.Limits{}},
		{"half of the machine", memory.Machine{Memory: 8 * gigabyte}, memory.VM{}, 1, half},
		{"what the process was given", memory.Machine{Memory: 8 * gigabyte, ProcessMemory: 6 * gigabyte}, memory.VM{}, 1, memory.LimitsOf(6*gigabyte, 0)},
		{"given more than there is", memory.Machine{Memory: 4 * gigabyte, ProcessMemory: 6 * gigabyte}, memory.VM{}, 1, half},
		{"given on an unknown machine", memory.Machine{ProcessMemory: 4 * gigabyte}, memory.VM{}, 1, half},
		{"descriptors only", memory.Machine{Descriptors: 4096}, memory.VM{}, 1, descriptors},
		{"memory by the settings", memory.Machine{Memory: gigabyte, Descriptors: 4096}, memory.VM{Memory: 4 * gigabyte}, 1, memory.LimitsOf(4*gigabyte, 4096)},
		{"descriptors by the settings", memory.Machine{Memory: 8 * gigabyte, Descriptors: 100}, memory.VM{Descriptors: 4096}, 1, memory.LimitsOf(4*gigabyte, 4096)},
		{"no limit by memory", memory.Machine{Memory: gigabyte, Descriptors: 4096}, memory.VM{Memory: -1}, 1, descriptors},
		{
			"two entries in a process",
			memory.Machine{Memory: 8 * gigabyte, Descriptors: 4096},
			memory.VM{},
			2,
			memory.Limits{Bodies: half.Bodies / 2, Answers: half.Answers / 2, Runtime: half.Runtime, Connections: descriptors.Connections / 2},
		},
	} {
		if limits := test.machine.LimitsOf(test.vm, test.entries); limits != test.want {
			t.Errorf("%s: %+v, not %+v", test.name, limits, test.want)
		}
	}
	if unknown := (memory.Machine{}).Unknown(memory.VM{}); len(unknown) != 2 {
		t.Error("not reported as unknown: ", unknown)
	}
	if unknown := (memory.Machine{Memory: 1 << 20, Descriptors: 1}).Unknown(memory.VM{}); len(unknown) != 0 {
		t.Error("reported as unknown: ", unknown)
	}
	if unknown := (memory.Machine{}).Unknown(memory.VM{Memory: -1, Descriptors: -1}); len(unknown) != 0 {
		t.Error("reported as unknown, though the settings say none: ", unknown)
	}
}

// Guards against a limit of a control group that is overlooked, and against a wrong unit.
func TestMemoryIsThatOfTheMachineOrItsControlGroup(t *testing.T) {
	const meminfo = "MemTotal:        8388608 kB\nMemFree:          1000 kB\n"
	for _, test := range []struct {
		name  string
		files map[string]string
		want  memory.Bytes
	}{
		{"nothing can be read", nil, 0},
		{"damaged", map[string]string{"proc/meminfo": "MemTotal: many kB\n", "proc/self/cgroup": "0:\n"}, 0},
		{"no group", map[string]string{"proc/meminfo": meminfo}, 8 * gigabyte},
		{"v2", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "1073741824\n",
		}, gigabyte},
		{"v2 without a limit", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a\n", "sys/fs/cgroup/a/memory.max": "max\n",
		}, 8 * gigabyte},
		{"v2, limit of the group around", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n",
			"sys/fs/cgroup/a/b/memory.max": "max\n", "sys/fs/cgroup/a/memory.max": "1073741824\n",
		}, gigabyte},
		{"v1", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "9:name=systemd:/\n4:memory:/a:b\n0::/\n",
			"sys/fs/cgroup/memory/a:b/memory.limit_in_bytes": "1073741824\n",
		}, gigabyte},
		{"v1, group of the host in a container", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "4:hugetlb,memory:/docker/x\n",
			"sys/fs/cgroup/memory/memory.limit_in_bytes": "1073741824\n",
		}, gigabyte},
		{"v1 without a limit", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "4:memory:/\n", "sys/fs/cgroup/memory/memory.limit_in_bytes": "9223372036854771712\n",
		}, 8 * gigabyte},
		{"v1 without a limit, the machine's cannot be read", map[string]string{
			"proc/self/cgroup": "4:memory:/\n", "sys/fs/cgroup/memory/memory.limit_in_bytes": "9223372036854771712\n",
		}, 0},
		{"group alone", map[string]string{
			"proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "1073741824\n",
		}, gigabyte},
	} {
		files := fstest.MapFS{}
		for name, content := range test.files {
			files[name] = &fstest.MapFile{Data: []byte(content)}
		}
		if got := memory.OfMachine(files); got != test.want {
			t.Errorf("%s: %d, not %d", test.name, got, test.want)
		}
	}
}

// Guards against a process that cannot tell what its machine has, and so has no limits.
func TestThisMachineIsKnown(t *testing.T) {
	if machine := memory.ThisMachine(); machine.Memory == 0 || machine.Descriptors == 0 {
		t.Fatalf("%+v", machine)
	}
}

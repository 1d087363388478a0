package process

import "lovageshift/memory"

// limitsOf returns the limits of one of the entries that run in this process, 0 stands for 1, on the VM. It calls onUnknown with
// what the settings leave to the machine and the machine does not tell.
func limitsOf(vm memory.VM, entries int, onUnknown func(unknown []string)) memory.Limits {
	machine := memory.ThisMachine()
	if unknown := machine.Unknown(vm); len(unknown) > 0 {
		onUnknown(unknown)
	}
	return machine.LimitsOf(vm, max(entries, 1))
}

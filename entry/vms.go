package entry

import (
	"context"
	"time"

	"lovageshift"
	"lovageshift/folderservice"
)

const machinesInterval = 10 * time.Second

// machineList is a source that also publishes which VMs are live and leaving.
type machineList interface {
	VMs(ctx context.Context) (folderservice.VMList, error)
}

// followMachines reads the platform's lagging list, where the source has one. A list that cannot be read is forgotten.
func (e *Entry) followMachines(ctx context.Context) error {
	source, has := e.options.Source.(machineList)
	if !has {
		return nil
	}
	for ctx.Err() == nil {
		machines, _ := source.VMs(ctx)
		leaving := make(map[lovageshift.TargetID]bool, len(machines.Leaving))
		for _, name := range machines.Leaving {
			leaving[lovageshift.TargetID(name)] = true
		}
		e.mutex.Lock()
		e.leaving = leaving
		e.mutex.Unlock()
		lovageshift.Pause(ctx, e.node.Jitter(machinesInterval))
	}
	return nil
}

// staying leaves out targets whose VMs are leaving, unless no other is fit: the list lags, and a name
// on it may have come back. It needs the lock.
func (e *Entry) staying(fit []lovageshift.TargetID) []lovageshift.TargetID {
	if len(e.leaving) == 0 {
		return fit
	}
	var staying []lovageshift.TargetID
	for _, id := range fit {
		if !e.leaving[id] {
			staying = append(staying, id)
		}
	}
	if len(staying) == 0 {
		return fit
	}
	return staying
}
